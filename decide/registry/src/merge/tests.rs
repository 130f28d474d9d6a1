//! Tests of `merge`.

use super::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Seed of the property tests, fixed so that a failure is reproducible.
const SEED: u64 = 0x5eed_0012;

/// A record of one instance. Each field has few possible values, so that many records are equal.
#[derive(Clone, Debug)]
struct Sample(ServerRecord);

impl Arbitrary for Sample {
    fn arbitrary(gen: &mut Gen) -> Sample {
        let pick = |gen: &mut Gen, count: u8| u8::arbitrary(gen) % count;
        let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
        let record = ServerRecord {
            instance: "i".to_owned(),
            service: format!("s{}", pick(gen, 2)),
            address: format!("a{}", pick(gen, 2)),
            zone: format!("z{}", pick(gen, 2)),
            capacity_slots: u32::from(pick(gen, 2)),
            state: states[usize::from(pick(gen, 3))],
            sequence_number: u64::from(pick(gen, 3)),
            warm_up_remaining_ms: u64::from(pick(gen, 2)),
            is_suspect: false,
        };
        Sample(normalized(&record))
    }
}

fn merged(one: &ServerRecord, other: &ServerRecord) -> ServerRecord {
    let mut known = one.clone();
    let changed = merge_record(&mut known, other);
    assert_eq!(
        changed,
        known != *one,
        "the result must tell whether the record changed"
    );
    known
}

fn run_property<F: quickcheck::Testable>(property: F) {
    let gen = Gen::from_size_and_seed(30, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(20_000)
        .quickcheck(property);
}

#[test]
fn merge_is_commutative() {
    fn property(a: Sample, b: Sample) -> bool {
        merged(&a.0, &b.0) == merged(&b.0, &a.0)
    }
    run_property(property as fn(Sample, Sample) -> bool);
}

#[test]
fn merge_is_associative() {
    fn property(a: Sample, b: Sample, c: Sample) -> bool {
        merged(&merged(&a.0, &b.0), &c.0) == merged(&a.0, &merged(&b.0, &c.0))
    }
    run_property(property as fn(Sample, Sample, Sample) -> bool);
}

#[test]
fn merge_is_idempotent_and_state_never_decreases() {
    fn property(a: Sample, b: Sample) -> bool {
        let both = merged(&a.0, &b.0);
        merged(&both, &a.0) == both
            && merged(&both, &b.0) == both
            && both.state >= a.0.state.max(b.0.state)
    }
    run_property(property as fn(Sample, Sample) -> bool);
}

fn record(state: ServerState, sequence_number: u64) -> ServerRecord {
    ServerRecord {
        instance: "i".to_owned(),
        service: "s".to_owned(),
        address: "a:1".to_owned(),
        state,
        sequence_number,
        ..ServerRecord::default()
    }
}

#[test]
fn state_takes_precedence_over_sequence_number() {
    let (ready, draining) = (
        record(ServerState::Ready, 9),
        record(ServerState::Draining, 3),
    );
    assert_eq!(merged(&ready, &draining), draining);
    assert_eq!(merged(&draining, &ready), draining);
    assert_eq!(
        merged(&draining, &record(ServerState::Draining, 4)).sequence_number,
        4
    );
    assert_eq!(
        merged(&ready, &record(ServerState::Gone, 0)),
        tombstone("i")
    );
}

#[test]
fn merged_record_keeps_its_own_is_suspect() {
    let mut known = ServerRecord {
        is_suspect: true,
        ..record(ServerState::Ready, 1)
    };
    assert!(merge_record(&mut known, &record(ServerState::Ready, 2)));
    assert!(known.is_suspect && known.sequence_number == 2);
    assert!(merge_record(&mut known, &tombstone("i")) && !known.is_suspect);
}

#[test]
fn merged_pushed_record_takes_over_is_suspect_of_control_machine() {
    let mut known = record(ServerState::Ready, 5);
    let overdue = ServerRecord {
        is_suspect: true,
        ..record(ServerState::Ready, 3)
    };
    assert!(
        merge_pushed_record(&mut known, &overdue) && known.is_suspect && known.sequence_number == 5
    );
    assert!(!merge_pushed_record(&mut known, &overdue));
    assert!(merge_pushed_record(&mut known, &record(ServerState::Ready, 5)) && !known.is_suspect);
    assert!(merge_pushed_record(&mut known, &tombstone("i")));
    assert!(!merge_pushed_record(&mut known, &overdue) && known == tombstone("i"));
}
