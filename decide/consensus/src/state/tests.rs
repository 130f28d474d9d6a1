//! Tests of `state`.

use super::*;
use lichenswitch_lease::{Duty, FenceNumber, Holder};
use omnipaxos::storage::Snapshot as _;

#[test]
fn snapshots_that_are_merged_are_the_state_of_all_their_entries_and_short() {
    let duty = |d: u64| Duty(format!("d{}", d % 3));
    let holder = |h: u64| Holder {
        name: format!("n{}", h % 5),
        life: h % 2,
    };
    let entries: Vec<Entry> = (0..400u64)
        .map(|i| match i.wrapping_mul(2_654_435_761) >> 5 {
            k if k % 3 == 0 => Grant::GiveBack(duty(k), FenceNumber(k % 60)),
            k if k % 7 == 1 => Grant::Over(duty(k), FenceNumber(i / 9), k % 2),
            k => Grant::Ask(duty(k), holder(k / 7)),
        })
        .map(|grant| Entry { grant, number: 0 })
        .collect();
    let mut grants = Grants::default();
    entries
        .iter()
        .for_each(|e| drop(grants.on_entry(Time(0), &e.grant)));
    for cut in [1, 100, 399] {
        let mut snapshot = Snapshot::create(&entries[..cut]);
        let later: Vec<&[Entry]> = entries[cut..].chunks(70).collect();
        later
            .into_iter()
            .for_each(|chunk| snapshot.merge(Snapshot::create(chunk)));
        assert_eq!(snapshot.grants(Time(0)), grants, "{cut}");
        assert!(snapshot.after.is_empty());
    }
}
