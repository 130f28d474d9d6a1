//! The two threads under a scheduler that explores their interleavings.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::path::Path;

use shuttle::sync::{Arc, Condvar, Mutex};
use support::{small_ring, FakeDisk, Fault, FOLDER};

use super::{Completion, WriteRequest, Writer};
use crate::{Storage, StorageError};

/// Wake-ups that the submitter can wait for.
#[derive(Default)]
struct Bell {
    rung: Mutex<bool>,
    ringing: Condvar,
}

impl Bell {
    fn ring(&self) {
        *self.rung.lock().unwrap() = true;
        self.ringing.notify_one();
    }

    fn wait(&self) {
        let mut rung = self.rung.lock().unwrap();
        while !*rung {
            rung = self.ringing.wait(rung).unwrap();
        }
        *rung = false;
    }
}

fn open(disk: &FakeDisk) -> (Storage, crate::Recovered) {
    Storage::open_with(Box::new(disk.clone()), Path::new(FOLDER), &small_ring()).unwrap()
}

fn start(disk: &FakeDisk) -> (Writer, Arc<Bell>) {
    let bell = Arc::new(Bell::default());
    let rings = bell.clone();
    (
        Writer::start_with(open(disk).0, move || rings.ring()).unwrap(),
        bell,
    )
}

fn wait_for(writer: &mut Writer, bell: &Bell, count: usize) -> Vec<Completion> {
    let mut completions = writer.completions();
    while completions.len() < count {
        bell.wait();
        completions.extend(writer.completions());
    }
    completions
}

fn write_ids(completions: &[Completion]) -> Vec<u64> {
    completions
        .iter()
        .map(|completion| completion.write_id)
        .collect()
}

/// Two appends and a wait for both: no wake-up is lost, nothing is done twice or out of order, and
/// all is on the disk.
fn each_request_is_executed_once() {
    let disk = FakeDisk::new();
    let (mut writer, bell) = start(&disk);
    writer.submit(1, WriteRequest::Append(vec![vec![1]]));
    writer.submit(2, WriteRequest::Append(vec![vec![2]]));
    assert_eq!(write_ids(&wait_for(&mut writer, &bell, 2)), [1, 2]);
    assert_eq!(writer.outstanding(), 0);
    assert!(writer.close().is_some());
    assert_eq!(open(&disk).1.records, [[1], [2]]);
}

/// The first append fails. Whatever the submitter has seen of that when it submits the second, what
/// is acknowledged is what is on the disk, without a gap.
fn nothing_is_stored_after_a_gap() {
    let disk = FakeDisk::new();
    open(&disk).0.replace_snapshot(b"state").unwrap();
    let (mut writer, bell) = start(&disk);
    disk.fault_after(0, Fault::Full);
    writer.submit(1, WriteRequest::Append(vec![vec![1]]));
    let mut completions = writer.completions();
    let knew = !completions.is_empty();
    writer.submit(2, WriteRequest::Append(vec![vec![2]]));
    let missing = 2 - completions.len();
    completions.extend(wait_for(&mut writer, &bell, missing));
    assert_eq!(write_ids(&completions), [1, 2]);
    assert!(completions[0].result.is_err());
    assert_eq!(completions[1].result.is_ok(), knew);
    assert!(writer.close().is_some());
    let stored: &[Vec<u8>] = if knew { &[vec![2]] } else { &[] };
    assert_eq!(open(&disk).1.records, stored);
}

/// The writer is closed at any point: what was submitted is done first.
fn closing_executes_submitted_requests() {
    let disk = FakeDisk::new();
    let (mut writer, _) = start(&disk);
    writer.submit(1, WriteRequest::ReplaceSnapshot(vec![1]));
    writer.submit(2, WriteRequest::Append(vec![vec![2]]));
    let early = writer.completions();
    assert!(early
        .iter()
        .all(|completion| completion.result != Err(StorageError::EarlierFailed)));
    assert!(writer.close().is_some());
    let recovered = open(&disk).1;
    assert_eq!(
        (recovered.snapshot, recovered.records),
        (Some(vec![1]), vec![vec![2]])
    );
}

/// All interleavings of two threads with some twenty steps each are too many to be tried: these are
/// drawn, by priorities that change at a few random places (which finds what takes few changes of
/// threads), and evenly.
fn check_interleavings(scenario: fn()) {
    shuttle::check_pct(scenario, 4_000, 3);
    shuttle::check_random_with_seed(scenario, 1, 4_000);
}

#[test]
fn each_request_is_executed_once_in_every_interleaving() {
    check_interleavings(each_request_is_executed_once);
}

#[test]
fn failure_leaves_no_gap_in_any_interleaving() {
    check_interleavings(nothing_is_stored_after_a_gap);
}

#[test]
fn closing_loses_nothing_in_any_interleaving() {
    check_interleavings(closing_executes_submitted_requests);
}
