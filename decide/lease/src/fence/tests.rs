//! Tests of `fence`.

use super::*;

#[test]
fn only_the_highest_fence_seen_and_higher_ones_are_taken_by_duty() {
    let (mut fence, caller, prober) = (
        Fence::default(),
        Duty("caller".into()),
        Duty("prober".into()),
    );
    let number = FenceNumber;
    assert_eq!(
        fence.on_effect(&caller, number(0)),
        Verdict::Refuse(Reason::Bare)
    );
    assert_eq!(
        fence.on_effect(&caller, number(5)),
        Verdict::Take(Reason::Newer(number(0)))
    );
    assert_eq!(
        fence.on_effect(&caller, number(5)),
        Verdict::Take(Reason::Present)
    );
    assert_eq!(
        fence.on_effect(&caller, number(4)),
        Verdict::Refuse(Reason::Older(number(5)))
    );
    assert_eq!(
        fence.on_effect(&prober, number(4)),
        Verdict::Take(Reason::Newer(number(0))),
        "another duty"
    );
    assert_eq!(
        fence.on_effect(&caller, number(9)),
        Verdict::Take(Reason::Newer(number(5)))
    );
    assert_eq!(
        fence.on_effect(&caller, number(5)),
        Verdict::Refuse(Reason::Older(number(9)))
    );
    assert_eq!(
        (fence.seen(&caller), fence.seen(&prober)),
        (number(9), number(4))
    );
}
