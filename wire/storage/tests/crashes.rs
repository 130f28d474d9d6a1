//! After any crash, all that was acknowledged is recovered, and nothing else but what was being
//! written.

mod support;

use std::path::Path;

use lichenswitch_storage::{Finding, ForeignReason, Recovered, Storage, StorageError};
use support::{small_ring, FakeDisk, Fault, PowerLoss, Random, FOLDER};

/// Something to be stored, by the length of its parts.
#[derive(Clone, Debug)]
enum Step {
    Append(Vec<usize>),
    ReplaceSnapshot(usize),
}

/// What a storage should hold.
#[derive(Clone, Default, PartialEq, Eq)]
struct State {
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
}

impl std::fmt::Debug for State {
    /// By the numbers and lengths of the contents.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let number = |content: &Vec<u8>| (content[0], content.len());
        write!(
            f,
            "{:?} {:?}",
            self.snapshot.as_ref().map(number),
            self.records.iter().map(number).collect::<Vec<_>>()
        )
    }
}

/// What may be found: what was acknowledged last, or what was tried without success since.
#[derive(Clone, Debug, Default)]
struct Model {
    acknowledged: State,
    attempted: Vec<State>,
    /// Makes all contents differ.
    counter: u32,
    /// Whether writes may be short.
    short_writes: bool,
}

impl Model {
    fn content(&mut self, length: usize) -> Vec<u8> {
        self.counter += 1;
        self.counter
            .to_le_bytes()
            .into_iter()
            .cycle()
            .take(length.max(4))
            .collect()
    }

    /// Takes a step; `false` once the process has ended.
    fn step(&mut self, disk: &FakeDisk, storage: &mut Storage, step: &Step) -> bool {
        let mut after = self.acknowledged.clone();
        let result = match step {
            Step::Append(lengths) => {
                let records: Vec<_> = lengths.iter().map(|length| self.content(*length)).collect();
                after.records.extend(records.clone());
                storage.append(&records)
            }
            Step::ReplaceSnapshot(length) => {
                let snapshot = self.content(*length);
                after = State {
                    snapshot: Some(snapshot.clone()),
                    records: Vec::new(),
                };
                storage.replace_snapshot(&snapshot)
            }
        };
        match result {
            Ok(()) => (self.acknowledged, self.attempted) = (after, Vec::new()),
            Err(StorageError::SegmentFull { .. }) => {
                return self.step(disk, storage, &Step::ReplaceSnapshot(300));
            }
            Err(StorageError::Io { .. }) => self.attempted.push(after),
            Err(other) => panic!("unexpected: {other}"),
        }
        !disk.is_dead()
    }

    /// Whether a finding takes a file of ours for somebody else's. Remains of a first write whose
    /// first part was lost may be set aside (a short write is two, of which power may leave the
    /// second), as long as the state is right.
    fn is_wrong(&self, finding: &Finding) -> bool {
        let remains = self.short_writes;
        matches!(finding, Finding::Foreign { reason, .. } if !remains || *reason != ForeignReason::Unreadable)
    }

    /// Judges what was recovered, and goes on from there.
    fn judge(&mut self, recovered: Recovered, about: &str) {
        assert!(
            !recovered.loses_state(),
            "{about}: {:?}",
            recovered.findings
        );
        let foreign = recovered
            .findings
            .iter()
            .find(|finding| self.is_wrong(finding));
        assert_eq!(foreign, None, "{about}");
        let state = State {
            snapshot: recovered.snapshot,
            records: recovered.records,
        };
        let right = state == self.acknowledged || self.attempted.contains(&state);
        assert!(
            right,
            "{about}: found {state:?}, acknowledged {:?}",
            self.acknowledged
        );
        (self.acknowledged, self.attempted) = (state, Vec::new());
    }
}

fn open(disk: &FakeDisk) -> Result<(Storage, Recovered), StorageError> {
    Storage::open_with(Box::new(disk.clone()), Path::new(FOLDER), &small_ring())
}

/// Goes round the ring more than twice, with records of all sizes and a snapshot that is longer than
/// a segment.
fn script() -> Vec<Step> {
    use Step::{Append, ReplaceSnapshot};
    vec![
        Append(vec![10]),
        ReplaceSnapshot(700),
        Append(vec![20]),
        Append(vec![0, 600, 5]),
        ReplaceSnapshot(1500),
        Append(vec![100, 100]),
        ReplaceSnapshot(100),
        Append(vec![1]),
        Append(vec![470]),
        Append(vec![1000]),
        ReplaceSnapshot(5000),
        Append(vec![3000]),
        Append(vec![8]),
        ReplaceSnapshot(40),
        ReplaceSnapshot(2000),
        Append(vec![9]),
        Append(vec![2000]),
        Append(vec![9, 9]),
    ]
}

/// Opens the disk and takes the steps, as far as the process lives.
fn run(disk: &FakeDisk, model: &mut Model, steps: &[Step]) {
    let Ok((mut storage, recovered)) = open(disk) else {
        return;
    };
    model.judge(recovered, "first opening");
    for step in steps {
        if !model.step(disk, &mut storage, step) {
            return;
        }
    }
}

/// All that may follow a crash: recovery, its crash, a loss of power right after it, more writing.
fn recover(disk: &FakeDisk, mut model: Model, about: &str) {
    let (storage, recovered) = open(disk).unwrap_or_else(|e| panic!("{about}: {e}"));
    drop(storage);
    model.judge(recovered, about);
    let about = format!("{about}, then all that is not synced is lost");
    disk.lose_power(PowerLoss::KeepNothing);
    let (mut storage, recovered) = open(disk).unwrap_or_else(|e| panic!("{about}: {e}"));
    model.judge(recovered, &about);
    for step in [
        Step::Append(vec![30]),
        Step::ReplaceSnapshot(900),
        Step::Append(vec![40, 50]),
    ] {
        assert!(model.step(disk, &mut storage, &step), "{about}");
        assert!(model.attempted.is_empty(), "{about}");
    }
    disk.lose_power(PowerLoss::KeepNothing);
    model.judge(
        open(disk).unwrap_or_else(|e| panic!("{about}: {e}")).1,
        &about,
    );
}

fn losses(seeds: u64) -> Vec<PowerLoss> {
    let random = (0..seeds).map(|seed| PowerLoss::Random(Random::new(seed + 1)));
    [PowerLoss::KeepNothing, PowerLoss::KeepAll]
        .into_iter()
        .chain(random)
        .collect()
}

fn operations_of_script() -> u64 {
    let disk = FakeDisk::new();
    run(&disk, &mut Model::default(), &script());
    assert!(!disk.is_dead());
    disk.operations()
}

#[test]
fn state_survives_power_loss_at_each_operation() {
    for operation in 0..operations_of_script() {
        let (disk, mut model) = (FakeDisk::new(), Model::default());
        disk.die_after(operation);
        run(&disk, &mut model, &script());
        assert!(disk.is_dead());
        for power in losses(30) {
            let disk = disk.copy();
            let about = format!("operation {operation}, {power:?}");
            disk.lose_power(power);
            recover(&disk, model.clone(), &about);
        }
    }
}

#[test]
fn state_survives_a_kill_at_each_operation() {
    for operation in 0..operations_of_script() {
        let (disk, mut model) = (FakeDisk::new(), Model::default());
        disk.die_after(operation);
        run(&disk, &mut model, &script());
        disk.restart();
        recover(&disk, model, &format!("killed at operation {operation}"));
    }
}

#[test]
fn state_survives_power_loss_at_each_operation_of_a_recovery() {
    for operation in 0..operations_of_script() {
        let (disk, mut model) = (FakeDisk::new(), Model::default());
        disk.die_after(operation);
        run(&disk, &mut model, &script());
        for power in losses(4) {
            for second in 0.. {
                let disk = disk.copy();
                disk.lose_power(power.clone());
                disk.die_after(second);
                if open(&disk).is_ok() {
                    break;
                }
                let about = format!("operation {operation} and {second}, {power:?}");
                disk.lose_power(power.clone());
                recover(&disk, model.clone(), &about);
            }
        }
    }
}

#[test]
fn state_survives_power_loss_after_a_failed_operation() {
    for operation in 0..operations_of_script() {
        for fault in [Fault::Error, Fault::Full, Fault::Short] {
            for steps in 0..=script().len() {
                let short_writes = fault == Fault::Short;
                let (disk, mut model) = (
                    FakeDisk::new(),
                    Model {
                        short_writes,
                        ..Model::default()
                    },
                );
                disk.set_random(Random::new(operation));
                disk.fault_after(operation, fault);
                run(&disk, &mut model, &script()[..steps]);
                let about = format!("operation {operation}, {fault:?}, {steps} steps");
                disk.lose_power(PowerLoss::Random(Random::new(
                    operation * 100 + steps as u64,
                )));
                recover(&disk, model, &about);
            }
        }
    }
}

#[test]
fn state_survives_random_faults_and_crashes() {
    for seed in 0..5_000 {
        let mut random = Random::new(seed);
        let (disk, mut model) = (
            FakeDisk::new(),
            Model {
                short_writes: true,
                ..Model::default()
            },
        );
        for life in 0..2 + random.below(5) {
            live(
                &disk,
                &mut model,
                &mut random,
                &format!("seed {seed}, life {life}"),
            );
        }
        disk.set_full(false);
        recover(&disk, model, &format!("seed {seed}"));
    }
}

/// One life of a process: it opens the storage, writes, meets faults, and ends.
fn live(disk: &FakeDisk, model: &mut Model, random: &mut Random, about: &str) {
    disk.set_random(random.clone());
    for _ in 0..random.below(4) {
        let fault = [Fault::Error, Fault::Full, Fault::Short][random.below(3)];
        disk.fault_after(random.below(60) as u64, fault);
    }
    if !random.one_in(3) {
        disk.die_after(random.below(80) as u64);
    }
    if let Ok((mut storage, recovered)) = open(disk) {
        model.judge(recovered, about);
        for _ in 0..random.below(20) {
            disk.set_full(random.one_in(12));
            let longest = [200, 2500, 6000][random.below(3)];
            let step = match random.below(3) {
                0 => Step::ReplaceSnapshot(random.below(longest)),
                _ => Step::Append((0..=random.below(3)).map(|_| random.below(900)).collect()),
            };
            if !model.step(disk, &mut storage, &step) {
                break;
            }
        }
    }
    disk.set_full(false);
    match random.below(4) {
        0 => disk.restart(),
        1 => disk.lose_power(PowerLoss::KeepNothing),
        2 => disk.lose_power(PowerLoss::KeepAll),
        _ => disk.lose_power(PowerLoss::Random(random.clone())),
    }
}
