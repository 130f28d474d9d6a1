//! Tests of `grants`.

use super::*;

const TERMS: Terms = Terms {
    lease: 3_000_000,
    drift: 100_000,
};

fn ask(name: &str, life: u64) -> Entry {
    Entry::Ask(
        Duty("d".into()),
        Holder {
            name: name.into(),
            life,
        },
    )
}

#[test]
fn a_duty_has_one_holder_until_its_lease_is_over_and_fences_grow() {
    let (mut grants, duty, number) = (Grants::default(), Duty("d".into()), FenceNumber);
    assert_eq!(
        grants.on_entry(Time(0), &ask("a", 1)),
        Verdict::Granted(number(1), Reason::Unheld)
    );
    let a = Holder {
        name: "a".into(),
        life: 1,
    };
    assert_eq!(
        grants.on_entry(Time(5), &ask("b", 1)),
        Verdict::Refused(a, number(1))
    );
    assert_eq!(grants.next(TERMS), Some(Time(3_300_001)));
    assert!(grants.over(Time(3_300_000), TERMS).is_empty());
    let over = grants.over(Time(3_300_001), TERMS).remove(0);
    // A renewal that comes first in the log makes the end stale, whatever clocks say.
    assert_eq!(
        grants.on_entry(Time(3_300_001), &ask("a", 1)),
        Verdict::Renewed(number(1))
    );
    assert_eq!(grants.on_entry(Time(3_300_002), &over), Verdict::Stale);
    let over = grants.over(Time(9_000_000), TERMS).remove(0);
    assert_eq!(
        grants.on_entry(Time(9_000_000), &over),
        Verdict::Freed(Reason::Over)
    );
    assert_eq!(
        grants.on_entry(Time(9_000_000), &over),
        Verdict::Stale,
        "twice"
    );
    assert_eq!(
        grants.on_entry(Time(9_000_001), &ask("b", 1)),
        Verdict::Granted(number(2), Reason::Unheld)
    );
    let late = Entry::GiveBack(duty.clone(), number(1));
    assert_eq!(
        grants.on_entry(Time(9_000_002), &late),
        Verdict::Stale,
        "that fence is none any more"
    );
    let back = Entry::GiveBack(duty.clone(), number(2));
    assert_eq!(
        grants.on_entry(Time(9_000_003), &back),
        Verdict::Freed(Reason::GivenBack)
    );
    assert!(grants.holder(&duty).is_none());
}

#[test]
fn a_later_life_of_the_holder_waits_for_the_end_of_the_lease_like_any_other() {
    let mut grants = Grants::default();
    grants.on_entry(Time(0), &ask("a", 1));
    let former = Holder {
        name: "a".into(),
        life: 1,
    };
    assert_eq!(
        grants.on_entry(Time(1), &ask("a", 2)),
        Verdict::Refused(former, FenceNumber(1))
    );
    let over = grants.over(Time(4_000_000), TERMS).remove(0);
    grants.on_entry(Time(4_000_000), &over);
    assert_eq!(
        grants.on_entry(Time(4_000_001), &ask("a", 2)),
        Verdict::Granted(FenceNumber(2), Reason::Unheld)
    );
    assert!(matches!(
        grants.on_entry(Time(4_000_002), &ask("a", 1)),
        Verdict::Refused(..)
    ));
}

#[test]
fn voters_come_to_the_same_grants_by_the_same_log_whatever_their_clocks_say() {
    let over = Entry::Over(Duty("d".into()), FenceNumber(1), 0);
    let log = [ask("a", 1), ask("b", 1), over, ask("b", 1), ask("a", 1)];
    let replay = |at: u64, step: u64| {
        let mut grants = Grants::default();
        let told: Vec<Verdict> = log
            .iter()
            .enumerate()
            .map(|(i, e)| grants.on_entry(Time(at + i as u64 * step), e))
            .collect();
        (
            told,
            grants
                .holder(&Duty("d".into()))
                .map(|h| (h.0.name.clone(), h.1)),
        )
    };
    assert_eq!(replay(0, 1), replay(77_000_000, 5_000_000));
    assert_eq!(replay(0, 1).1, Some(("b".into(), FenceNumber(2))));
}
