//! Tests of `holder_lease`.

use super::*;

const TERMS: LeaseTerms = LeaseTerms {
    lease: 3_000_000,
    drift: 100_000,
};
const AT_MS: fn(u64) -> Time = |ms| Time(1_000_000_000 + ms * 1_000);

#[test]
fn lease_is_measured_from_its_request_and_shortened_by_the_drift() {
    let mut lease = HolderLease::default();
    assert_eq!(
        lease.check(AT_MS(0), TERMS),
        Permission::Refrain(Reason::NoLease)
    );
    let request = lease.on_request(AT_MS(0));
    assert!(
        lease.on_grant(request, FencingToken(7)),
        "a grant for the pending request must be accepted"
    );
    assert_eq!(
        lease.check(AT_MS(2_000), TERMS),
        Permission::Act(FencingToken(7), Reason::Leased(699_999))
    );
    assert!(matches!(
        lease.check(AT_MS(2_700), TERMS),
        Permission::Refrain(Reason::Expired(_))
    ));
    // The broker must not act after a long pause, or after its clock went back.
    assert!(matches!(
        lease.check(AT_MS(900_000), TERMS),
        Permission::Refrain(Reason::Expired(_))
    ));
    assert!(matches!(
        lease.check(Time(5), TERMS),
        Permission::Refrain(Reason::Expired(0))
    ));
}

#[test]
fn outdated_response_grants_no_lease_and_renewal_prolongs_it() {
    let mut lease = HolderLease::default();
    let first = lease.on_request(AT_MS(0));
    let second = lease.on_request(AT_MS(1_000));
    assert!(
        !lease.on_grant(first, FencingToken(1)),
        "a later request has replaced the first one"
    );
    assert!(
        lease.on_grant(second, FencingToken(2)) && !lease.on_grant(second, FencingToken(3)),
        "a grant is accepted once"
    );
    assert_eq!(
        lease.next_request_at(TERMS),
        AT_MS(1_000).plus(TERMS.holder_duration() / 100 * RENEWAL_PERCENT)
    );
    let renewal = lease.on_request(AT_MS(2_000));
    assert!(
        matches!(
            lease.check(AT_MS(2_500), TERMS),
            Permission::Act(FencingToken(2), _)
        ),
        "the lease stays valid while the renewal is pending"
    );
    assert_eq!(
        lease.next_request_at(TERMS),
        AT_MS(2_300),
        "the request is repeated if no response arrives"
    );
    assert!(lease.on_grant(renewal, FencingToken(2)));
    assert_eq!(
        lease.check(AT_MS(2_000), TERMS),
        Permission::Act(FencingToken(2), Reason::Leased(TERMS.holder_duration()))
    );
    let delayed = lease.on_request(AT_MS(3_000));
    assert!(
        !lease.on_grant(delayed, FencingToken(1)),
        "an older token must be rejected"
    );
}

#[test]
fn rejected_or_released_lease_ends_at_once() {
    let mut lease = HolderLease::default();
    let request = lease.on_request(AT_MS(0));
    lease.on_grant(request, FencingToken(3));
    let renewal = lease.on_request(AT_MS(1_000));
    lease.on_rejection(request);
    assert!(
        matches!(lease.check(AT_MS(1_100), TERMS), Permission::Act(..)),
        "a rejection of an earlier request is ignored"
    );
    lease.on_rejection(renewal);
    assert_eq!(
        lease.check(AT_MS(1_100), TERMS),
        Permission::Refrain(Reason::NoLease)
    );
    let request = lease.on_request(AT_MS(2_000));
    lease.on_grant(request, FencingToken(4));
    let pending = lease.on_request(AT_MS(2_100));
    assert_eq!(lease.on_release(), Some(FencingToken(4)));
    assert!(
        !lease.on_grant(pending, FencingToken(4)),
        "a grant of a request before the release is ignored"
    );
    assert_eq!(
        lease.check(AT_MS(2_200), TERMS),
        Permission::Refrain(Reason::Released)
    );
    assert_eq!(HolderLease::default().on_release(), None);
}

#[test]
fn lease_ends_once_a_receiver_has_seen_a_higher_token() {
    let mut lease = HolderLease::default();
    let request = lease.on_request(AT_MS(0));
    assert!(lease.on_grant(request, FencingToken(3)));
    lease.on_fenced_off(FencingToken(3));
    assert!(
        matches!(
            lease.check(AT_MS(100), TERMS),
            Permission::Act(FencingToken(3), _)
        ),
        "its own token does not end the lease"
    );
    lease.on_fenced_off(FencingToken(5));
    assert_eq!(
        lease.check(AT_MS(100), TERMS),
        Permission::Refrain(Reason::Superseded(FencingToken(5))),
        "a higher token ends the lease immediately"
    );
    // A delayed grant with a token lower than the one seen grants no lease.
    let request = lease.on_request(AT_MS(200));
    assert!(!lease.on_grant(request, FencingToken(4)));
    assert_eq!(
        lease.check(AT_MS(300), TERMS),
        Permission::Refrain(Reason::Superseded(FencingToken(5)))
    );
    let request = lease.on_request(AT_MS(400));
    assert!(lease.on_grant(request, FencingToken(6)));
    assert!(matches!(
        lease.check(AT_MS(500), TERMS),
        Permission::Act(FencingToken(6), _)
    ));
    lease.on_fenced_off(FencingToken(5));
    assert!(
        matches!(
            lease.check(AT_MS(600), TERMS),
            Permission::Act(FencingToken(6), _)
        ),
        "a rejection that names an older token is ignored"
    );
}
