//! Tests of `grant_table`.

use super::*;

const TERMS: LeaseTerms = LeaseTerms {
    lease: 3_000_000,
    drift: 100_000,
};

fn acquire(name: &str, incarnation: u64) -> LeaseCommand {
    LeaseCommand::Acquire(
        RoleName("d".into()),
        LeaseHolder {
            name: name.into(),
            incarnation,
        },
    )
}

#[test]
fn role_has_one_holder_until_its_lease_expires_and_tokens_grow() {
    let (mut grants, role, token) = (GrantTable::default(), RoleName("d".into()), FencingToken);
    assert_eq!(
        grants.apply(Time(0), &acquire("a", 1)),
        Outcome::Granted(token(1), Reason::Vacant)
    );
    let a = LeaseHolder {
        name: "a".into(),
        incarnation: 1,
    };
    assert_eq!(
        grants.apply(Time(5), &acquire("b", 1)),
        Outcome::Rejected(a, token(1))
    );
    assert_eq!(grants.next_expiry(TERMS), Some(Time(3_300_001)));
    assert!(grants.expired(Time(3_300_000), TERMS).is_empty());
    let expired = grants.expired(Time(3_300_001), TERMS).remove(0);
    // A renewal that precedes the `Expire` command in the log makes it stale, regardless of clocks.
    assert_eq!(
        grants.apply(Time(3_300_001), &acquire("a", 1)),
        Outcome::Renewed(token(1))
    );
    assert_eq!(grants.apply(Time(3_300_002), &expired), Outcome::Stale);
    let expired = grants.expired(Time(9_000_000), TERMS).remove(0);
    assert_eq!(
        grants.apply(Time(9_000_000), &expired),
        Outcome::Vacated(Reason::Expired)
    );
    assert_eq!(
        grants.apply(Time(9_000_000), &expired),
        Outcome::Stale,
        "the second `Expire` has no effect"
    );
    assert_eq!(
        grants.apply(Time(9_000_001), &acquire("b", 1)),
        Outcome::Granted(token(2), Reason::Vacant)
    );
    let outdated_release = LeaseCommand::Release(role.clone(), token(1));
    assert_eq!(
        grants.apply(Time(9_000_002), &outdated_release),
        Outcome::Stale,
        "its lease has ended"
    );
    let release = LeaseCommand::Release(role.clone(), token(2));
    assert_eq!(
        grants.apply(Time(9_000_003), &release),
        Outcome::Vacated(Reason::Released)
    );
    assert!(grants.holder(&role).is_none());
}

#[test]
fn later_incarnation_of_the_holder_waits_for_the_end_of_the_lease() {
    let mut grants = GrantTable::default();
    grants.apply(Time(0), &acquire("a", 1));
    let former = LeaseHolder {
        name: "a".into(),
        incarnation: 1,
    };
    assert_eq!(
        grants.apply(Time(1), &acquire("a", 2)),
        Outcome::Rejected(former, FencingToken(1))
    );
    let expired = grants.expired(Time(4_000_000), TERMS).remove(0);
    grants.apply(Time(4_000_000), &expired);
    assert_eq!(
        grants.apply(Time(4_000_001), &acquire("a", 2)),
        Outcome::Granted(FencingToken(2), Reason::Vacant)
    );
    assert!(matches!(
        grants.apply(Time(4_000_002), &acquire("a", 1)),
        Outcome::Rejected(..)
    ));
}

#[test]
fn voters_with_the_same_log_have_the_same_grants_regardless_of_their_clocks() {
    let expired = LeaseCommand::Expire(RoleName("d".into()), FencingToken(1), 0);
    let log = [
        acquire("a", 1),
        acquire("b", 1),
        expired,
        acquire("b", 1),
        acquire("a", 1),
    ];
    let replay = |start: u64, step: u64| {
        let mut grants = GrantTable::default();
        let outcomes: Vec<Outcome> = log
            .iter()
            .enumerate()
            .map(|(i, command)| grants.apply(Time(start + i as u64 * step), command))
            .collect();
        (
            outcomes,
            grants
                .holder(&RoleName("d".into()))
                .map(|grant| (grant.0.name.clone(), grant.1)),
        )
    };
    assert_eq!(replay(0, 1), replay(77_000_000, 5_000_000));
    assert_eq!(replay(0, 1).1, Some(("b".into(), FencingToken(2))));
}
