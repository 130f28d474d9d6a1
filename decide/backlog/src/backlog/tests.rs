//! Tests of the backlog table.

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);

#[test]
fn routers_get_sum_over_all_sources_and_peers_get_sum_over_own_routers() {
    let mut table = BacklogTable::default();
    table.on_router_report("router 1", &[(A, 100), (B, 7)]);
    table.on_router_report("router 2", &[(A, 50)]);
    table.on_peer_report("peer", &[(A, 1_000)]);
    assert_eq!(
        table.take_changes(),
        (vec![(A, 150), (B, 7)], vec![(A, 1_150), (B, 7)])
    );
    assert_eq!(
        table.take_changes(),
        (vec![], vec![]),
        "nothing has changed"
    );
}

#[test]
fn reports_of_lost_source_are_removed_from_sums() {
    let mut table = BacklogTable::default();
    table.on_router_report("router 1", &[(A, 100)]);
    table.on_peer_report("peer", &[(B, 30)]);
    table.take_changes();
    table.on_source_lost(&"router 1");
    assert!(table.has_changed());
    assert_eq!(table.take_changes(), (vec![(A, 0)], vec![(A, 0)]));
    table.on_source_lost(&"peer");
    assert_eq!(table.take_changes(), (vec![], vec![(B, 0)]));
    table.on_source_lost(&"unknown");
    assert!(!table.has_changed());
}

#[test]
fn sums_above_the_maximum_saturate() {
    let mut table = BacklogTable::default();
    table.on_router_report(1, &[(A, u32::MAX)]);
    table.on_router_report(2, &[(A, u32::MAX)]);
    assert_eq!(table.take_changes().1, vec![(A, u32::MAX)]);
}

/// A receiver that applies all changes, or a snapshot at any time and the changes after it, must
/// have the sums of all reports.
#[test]
fn changes_and_snapshots_result_in_same_table() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut table = BacklogTable::default();
        let mut reported: HashMap<u8, BTreeMap<ServerId, Backlog>> = HashMap::new();
        let (mut known_to_peers, mut known_to_routers) = (BTreeMap::new(), BTreeMap::new());
        for _ in 0..200 {
            let source = rng.u8(..6);
            match rng.u8(..10) {
                0 => {
                    table.on_source_lost(&source);
                    reported.remove(&source);
                }
                1 => {
                    (known_to_peers, known_to_routers) = (BTreeMap::new(), BTreeMap::new());
                    apply(&mut known_to_peers, &table.snapshot_for_peer());
                    apply(&mut known_to_routers, &table.snapshot_for_router());
                }
                2 | 3 => {
                    let (to_peers, to_routers) = table.take_changes();
                    apply(&mut known_to_peers, &to_peers);
                    apply(&mut known_to_routers, &to_routers);
                }
                _ => {
                    let changes = [(ServerId(rng.u32(..5)), rng.u32(..3) * 10)];
                    // Sources below 3 are routers.
                    match source < 3 {
                        true => table.on_router_report(source, &changes),
                        false => table.on_peer_report(source, &changes),
                    }
                    apply(reported.entry(source).or_default(), &changes);
                }
            }
        }
        let (to_peers, to_routers) = table.take_changes();
        apply(&mut known_to_peers, &to_peers);
        apply(&mut known_to_routers, &to_routers);
        let sum = |is_included: &dyn Fn(u8) -> bool| {
            let mut sums = BTreeMap::new();
            reported
                .iter()
                .filter(|(source, _)| is_included(**source))
                .for_each(|(_, backlogs)| add(&mut sums, backlogs));
            sums
        };
        assert_eq!(known_to_peers, sum(&|source| source < 3), "seed {seed}");
        assert_eq!(known_to_routers, sum(&|_| true), "seed {seed}");
    }
}
