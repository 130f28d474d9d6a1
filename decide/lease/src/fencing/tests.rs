//! Tests of `fencing`.

use super::*;

#[test]
fn token_below_the_highest_seen_of_its_role_is_rejected() {
    let (mut guard, caller, prober) = (
        FencingGuard::default(),
        RoleName("caller".into()),
        RoleName("prober".into()),
    );
    let token = FencingToken;
    assert_eq!(
        guard.on_effect(&caller, token(0)),
        Verdict::Reject(Reason::Missing)
    );
    assert_eq!(
        guard.on_effect(&caller, token(5)),
        Verdict::Accept(Reason::Newer(token(0)))
    );
    assert_eq!(
        guard.on_effect(&caller, token(5)),
        Verdict::Accept(Reason::Current)
    );
    assert_eq!(
        guard.on_effect(&caller, token(4)),
        Verdict::Reject(Reason::Older(token(5)))
    );
    assert_eq!(
        guard.on_effect(&prober, token(4)),
        Verdict::Accept(Reason::Newer(token(0))),
        "another role"
    );
    assert_eq!(
        guard.on_effect(&caller, token(9)),
        Verdict::Accept(Reason::Newer(token(5)))
    );
    assert_eq!(
        guard.on_effect(&caller, token(5)),
        Verdict::Reject(Reason::Older(token(9)))
    );
    assert_eq!(
        (guard.highest_seen(&caller), guard.highest_seen(&prober)),
        (token(9), token(4))
    );
}
