//! Tests of the ownership of shards.

use super::*;

const SECOND: Micros = 1_000_000;

fn voters(ids: &[u64]) -> Vec<OwnerId> {
    ids.iter().copied().map(OwnerId).collect()
}

fn seconds(seconds: u64) -> Time {
    Time(seconds * SECOND)
}

/// Returns a tenant whose first owner among these voters is `first`.
fn tenant_of(first: u64, among: &[u64]) -> String {
    (0..)
        .map(|n| format!("t{n}"))
        .find(|name| owners(name, &voters(among))[0] == OwnerId(first))
        .expect("an unbounded number of names has a match")
}

#[test]
fn owners_are_few_balanced_and_independent_of_voter_order() {
    let eight = voters(&[1, 2, 3, 4, 5, 6, 7, 8]);
    let mut rotated = eight.clone();
    rotated.rotate_left(3);
    let mut first_owners = std::collections::BTreeMap::new();
    for n in 0..800 {
        let tenant = format!("tenant-{n}");
        let owners = owners(&tenant, &eight);
        assert_eq!(owners.len(), MAX_OWNERS);
        assert_eq!(owners, super::owners(&tenant, &rotated));
        *first_owners.entry(owners[0]).or_insert(0) += 1;
    }
    assert!(
        first_owners
            .values()
            .all(|count| (60..=140).contains(count)),
        "{first_owners:?}"
    );
    assert_eq!(owners("t", &eight[..2]).len(), 2);
    assert!(owners("t", &[]).is_empty());
}

#[test]
fn loss_of_voter_moves_only_its_shards() {
    let (eight, seven) = (
        voters(&[1, 2, 3, 4, 5, 6, 7, 8]),
        voters(&[1, 2, 3, 4, 5, 6, 7]),
    );
    for n in 0..200 {
        let tenant = format!("tenant-{n}");
        let before: Vec<OwnerId> = owners(&tenant, &eight)
            .into_iter()
            .filter(|owner| *owner != OwnerId(8))
            .collect();
        let after = owners(&tenant, &seven);
        assert!(before.iter().all(|owner| after.contains(owner)));
    }
}

#[test]
fn shard_is_owned_for_a_lease_after_last_contact() {
    let tenant = tenant_of(1, &[1, 2, 3]);
    let mut ownership = ShardOwnership::new(OwnerId(1), voters(&[1, 2, 3]));
    assert_eq!(ownership.shard(seconds(1), &tenant), BucketShard::default());
    ownership.on_contact(seconds(1));
    assert!(
        ownership
            .shard(Time(5 * SECOND - 1), &tenant)
            .may_go_into_debt
    );
    assert_eq!(ownership.shard(seconds(5), &tenant), BucketShard::default());
    assert_eq!(ownership.owned_since(), seconds(1));
    ownership.on_contact(seconds(4));
    assert_eq!(ownership.owned_since(), seconds(1));
    ownership.on_contact(seconds(9));
    assert_eq!(ownership.owned_since(), seconds(9));
}

#[test]
fn new_shard_is_taken_over_after_settling_time() {
    // Voter 4 was not a voter before, so it has to wait for the settling time.
    let tenant = tenant_of(4, &[1, 2, 4]);
    let mut newcomer = ShardOwnership::new(OwnerId(4), Vec::new());
    newcomer.on_voters(seconds(10), &voters(&[1, 2, 4]));
    for now in 10..30 {
        newcomer.on_contact(seconds(now));
        newcomer.on_voters(seconds(now), &voters(&[1, 2, 4]));
        let is_owned = newcomer.shard(seconds(now), &tenant).fraction > 0.0;
        assert_eq!(
            is_owned,
            seconds(now) >= seconds(10).plus(SETTLING_TIME_US),
            "{now}"
        );
    }
}

#[test]
fn restart_under_same_voters_needs_only_contact() {
    let mut ownership = ShardOwnership::new(OwnerId(1), voters(&[1, 2, 3]));
    ownership.on_voters(seconds(100), &voters(&[1, 2, 3]));
    ownership.on_contact(seconds(100));
    assert!(ownership.shard(seconds(100), "t").fraction > 0.3);
}

#[test]
fn fractions_never_sum_to_more_than_one_while_voters_change() {
    for seed in 0..60 {
        random_walk(seed, SETTLING_TIME_US);
    }
}

/// The random walk must detect a violation if there is no settling time.
#[test]
fn random_walk_without_settling_time_finds_double_ownership() {
    let found = (0..60).any(|seed| std::panic::catch_unwind(|| random_walk(seed, 0)).is_err());
    assert!(found);
}

/// A machine in the random walk.
struct Machine {
    ownership: ShardOwnership,
    partitioned_until: Micros,
    /// Index of the last change of voters that the machine knows.
    known_change: usize,
    /// Time at which the machine learns of the next change (microseconds).
    next_learned_at: Micros,
}

impl Machine {
    fn of(id: u64, known: &[u64], known_change: usize) -> Machine {
        let ownership = ShardOwnership::new(OwnerId(id), voters(known));
        Machine {
            ownership,
            partitioned_until: 0,
            known_change,
            next_learned_at: 0,
        }
    }
}

/// Changes the voters at random times, and asserts that no tenant's fractions sum to more than 1.
/// Each machine learns of a change with a delay, and learns nothing while it is partitioned.
/// `settling` is the time that new owners wait (microseconds).
fn random_walk(seed: u64, settling: Micros) {
    const STEP: Micros = 100_000;
    const MAX_DELAY: Micros = 1_400_000;
    let skipped = SETTLING_TIME_US - settling;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut changes: Vec<(Micros, Vec<u64>)> = vec![(0, vec![1, 2, 3, 4])];
    let mut machines: Vec<Machine> = (1..=4)
        .map(|id| Machine::of(id, &[1, 2, 3, 4], 0))
        .collect();
    for step in 0..1_200 {
        let now = step * STEP;
        if step > 20 && random.u32(0..60) == 0 {
            let mut next = changes[changes.len() - 1].1.clone();
            let id = machines.len() as u64 + 1;
            next[random.usize(0..4)] = id;
            changes.push((now, next.clone()));
            let mut newcomer = Machine::of(id, &[], changes.len() - 1);
            newcomer
                .ownership
                .on_voters(Time(now.saturating_sub(skipped)), &voters(&next));
            machines.push(newcomer);
        }
        if random.u32(0..80) == 0 {
            let victim = random.usize(0..machines.len());
            machines[victim].partitioned_until = now + random.u64(0..8 * SECOND);
        }
        for machine in machines
            .iter_mut()
            .filter(|machine| machine.partitioned_until <= now)
        {
            let known = machine.known_change;
            while let Some((changed_at, _)) = changes.get(machine.known_change + 1) {
                machine.next_learned_at = machine
                    .next_learned_at
                    .max(changed_at + random.u64(0..MAX_DELAY));
                // The machine may not have learnt of this change yet.
                if machine.next_learned_at > now && now < changed_at + MAX_DELAY {
                    break;
                }
                machine.known_change += 1;
            }
            // A machine that was partitioned learns only of the last change.
            if machine.known_change > known {
                let next = voters(&changes[machine.known_change].1);
                machine
                    .ownership
                    .on_voters(Time(now.saturating_sub(skipped)), &next);
            }
            if changes[machine.known_change]
                .1
                .contains(&machine.ownership.own_id.0)
            {
                machine.ownership.on_contact(Time(now));
            }
        }
        for tenant in ["a", "b", "c", "d", "e"] {
            let shards = machines
                .iter()
                .map(|machine| machine.ownership.shard(Time(now), tenant));
            let (sum, first_owners) = shards.fold((0.0, 0), |(sum, first_owners), shard| {
                (
                    sum + shard.fraction,
                    first_owners + usize::from(shard.may_go_into_debt),
                )
            });
            assert!(
                sum <= 1.0 + 1e-9 && first_owners <= 1,
                "seed {seed}, step {step}, {tenant}: {sum}, {first_owners}"
            );
        }
    }
}
