//! Random walks over all orders of events: nothing that clients were told may turn out wrong.

use lichenswitch_replication::model::walk::{walk, Walk};
use lichenswitch_replication::model::World;
use lichenswitch_replication::Settings;

#[test]
fn four_voters_keep_their_word() {
    let mut acknowledged = 0;
    let mut confirmed = 0;
    for seed in 0..300 {
        let settings = Settings::default();
        let world = World::new(settings, 6, seed);
        let end = walk(world, Walk { seed, voters: 4, spares: 2, steps: 2000, wipes: true, leaves: true });
        assert_eq!(end.ledger.violation, None, "seed {seed}");
        acknowledged += end.ledger.acknowledged.len();
        confirmed += end.ledger.confirmed;
    }
    println!("{acknowledged} {confirmed}");
}
