//! Torn, missing, stale, foreign and damaged content is distinguished, and none of it is taken for
//! state.

mod support;

use std::path::Path;

use assert_matches::assert_matches;
use lichenswitch_storage::{
    Finding, ForeignReason, Recovered, Storage, StorageError, StorageSettings,
};
use support::{small_ring, FakeDisk, Fault, PowerLoss, FOLDER};

const SECTOR: usize = 512;

fn open_as(disk: &FakeDisk, settings: &StorageSettings) -> (Storage, Recovered) {
    Storage::open_with(Box::new(disk.clone()), Path::new(FOLDER), settings).unwrap()
}

fn open(disk: &FakeDisk) -> (Storage, Recovered) {
    open_as(disk, &small_ring())
}

fn path(segment: usize) -> String {
    format!("{FOLDER}/segment-{segment}")
}

/// A disk with a snapshot (in segment 0, one sector, a marker after it) and three records, a sector
/// each.
fn written() -> FakeDisk {
    let disk = FakeDisk::new();
    let (mut storage, recovered) = open(&disk);
    assert!(recovered.is_empty());
    storage.replace_snapshot(b"state").unwrap();
    for record in [b"1", b"2", b"3"] {
        storage.append(&[record.to_vec()]).unwrap();
    }
    disk
}

fn records(recovered: &Recovered) -> Vec<&[u8]> {
    recovered.records.iter().map(Vec::as_slice).collect()
}

#[test]
fn written_state_is_recovered() {
    let (_, recovered) = open(&written());
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
    assert_eq!(records(&recovered), [b"1", b"2", b"3"]);
    assert_eq!(recovered.findings, []);
}

#[test]
fn partial_last_record_is_torn() {
    let disk = written();
    disk.damage(&path(0), |bytes| bytes[4 * SECTOR + 41..].fill(0));
    let (mut storage, recovered) = open(&disk);
    assert_eq!(records(&recovered), [b"1", b"2"]);
    assert_eq!(
        recovered.findings,
        [Finding::Torn {
            segment: 0,
            generation: 1,
            sequence: 4
        }]
    );
    storage.append(&[b"three".to_vec()]).unwrap();
    assert_eq!(records(&open(&disk).1), [&b"1"[..], b"2", b"three"]);
}

#[test]
fn unread_record_never_returns_though_the_disk_has_it() {
    let disk = written();
    disk.hide(&path(0), |bytes| bytes[4 * SECTOR + 41..].fill(0));
    assert_eq!(records(&open(&disk).1), [b"1", b"2"]);
    disk.lose_power(PowerLoss::KeepNothing);
    let (_, recovered) = open(&disk);
    assert_eq!(records(&recovered), [b"1", b"2"]);
    assert_eq!(recovered.findings, []);
}

#[test]
fn damaged_record_before_others_allows_only_a_snapshot() {
    let disk = written();
    disk.damage(&path(0), |bytes| bytes[3 * SECTOR + 44] ^= 1);
    for _ in 0..2 {
        let (mut storage, recovered) = open(&disk);
        assert_eq!(
            (records(&recovered), recovered.loses_state()),
            (vec![&b"1"[..]], true)
        );
        assert_eq!(
            recovered.findings,
            [Finding::Damaged {
                segment: 0,
                generation: 1,
                sequence: 3
            }]
        );
        assert!(storage.wants_snapshot());
        assert_eq!(
            storage.append(&[b"2".to_vec()]),
            Err(StorageError::NeedsSnapshot)
        );
    }
    open(&disk).0.replace_snapshot(b"anew").unwrap();
    let (mut storage, recovered) = open(&disk);
    assert_eq!(
        (recovered.snapshot.as_deref(), recovered.loses_state()),
        (Some(&b"anew"[..]), false)
    );
    storage.append(&[b"4".to_vec()]).unwrap();
}

#[test]
fn record_at_the_offset_of_another_is_damage() {
    let disk = written();
    disk.damage(&path(0), |bytes| {
        bytes.copy_within(3 * SECTOR..4 * SECTOR, 4 * SECTOR)
    });
    let (_, recovered) = open(&disk);
    assert_eq!(records(&recovered), [b"1", b"2"]);
    assert_eq!(
        recovered.findings,
        [Finding::Damaged {
            segment: 0,
            generation: 1,
            sequence: 4
        }]
    );
}

#[test]
fn missing_record_before_others_is_reported() {
    let disk = written();
    disk.damage(&path(0), |bytes| bytes[3 * SECTOR..4 * SECTOR].fill(0));
    let (_, recovered) = open(&disk);
    assert_eq!(
        recovered.findings,
        [Finding::Missing {
            segment: 0,
            generation: 1,
            sequence: 3
        }]
    );
    assert!(recovered.loses_state());
}

#[test]
fn damaged_header_before_others_is_damage() {
    for byte in [0, 4, 6, 9, 20, 26, 30, 34, 38] {
        let disk = written();
        disk.damage(&path(0), |bytes| bytes[2 * SECTOR + byte] ^= 0x40);
        let (_, recovered) = open(&disk);
        let damaged = [Finding::Damaged {
            segment: 0,
            generation: 1,
            sequence: 2,
        }];
        assert_eq!(
            (recovered.findings, recovered.records.len()),
            (damaged.to_vec(), 0),
            "byte {byte}"
        );
    }
}

#[test]
fn damaged_snapshot_never_makes_the_previous_one_the_newest() {
    for byte in [0, 5, 9, 17, 25, 29, 33, 37, 42] {
        let disk = written();
        let (mut storage, _) = open(&disk);
        storage.replace_snapshot(b"second").unwrap();
        storage.append(&[b"old".to_vec()]).unwrap();
        disk.damage(&path(1), |bytes| bytes[byte] ^= 0x40);
        let (mut storage, recovered) = open(&disk);
        assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
        let damaged = Finding::Damaged {
            segment: 1,
            generation: 2,
            sequence: 0,
        };
        assert_eq!(recovered.findings, [damaged], "byte {byte}");
        assert_eq!(
            storage.append(&[b"4".to_vec()]),
            Err(StorageError::NeedsSnapshot)
        );
        storage.replace_snapshot(b"third").unwrap();
        let (_, recovered) = open(&disk);
        assert_eq!(
            (recovered.snapshot.as_deref(), recovered.records.len()),
            (Some(&b"third"[..]), 0)
        );
        assert_eq!(
            recovered.findings,
            [Finding::Stale {
                segment: 1,
                generation: 3
            }]
        );
    }
}

#[test]
fn damage_of_all_snapshots_is_reported() {
    let disk = written();
    disk.damage(&path(0), |bytes| bytes[42] ^= 1);
    let (_, recovered) = open(&disk);
    assert_eq!(
        recovered.findings,
        [Finding::Damaged {
            segment: 0,
            generation: 1,
            sequence: 0
        }]
    );
    assert!(recovered.is_empty() && recovered.loses_state());
}

#[test]
fn partial_snapshot_leaves_the_previous_one() {
    let disk = written();
    let (mut storage, _) = open(&disk);
    disk.die_after(1);
    assert!(storage.replace_snapshot(&[7; 1500]).is_err());
    disk.restart();
    disk.damage(&path(1), |bytes| bytes[2 * SECTOR..].fill(0));
    let (_, recovered) = open(&disk);
    assert_eq!(
        (recovered.snapshot.as_deref(), recovered.records.len()),
        (Some(&b"state"[..]), 3)
    );
    assert!(!recovered.loses_state());
}

#[test]
fn records_of_an_older_generation_are_stale_and_never_return() {
    let disk = FakeDisk::new();
    let (mut storage, _) = open(&disk);
    for generation in 1..=7_u8 {
        storage.replace_snapshot(&[generation]).unwrap();
        // The earlier the generation, the more records: old ones remain after the new ones.
        for number in 0..7 - generation.min(5) {
            storage.append(&[vec![generation, number]]).unwrap();
        }
    }
    let (mut storage, recovered) = open(&disk);
    assert_eq!(
        (recovered.snapshot, recovered.records),
        (Some(vec![7]), vec![vec![7, 0], vec![7, 1]])
    );
    assert_eq!(
        recovered.findings,
        [Finding::Stale {
            segment: 0,
            generation: 7
        }]
    );
    storage.append(&[vec![7, 2]]).unwrap();
    assert_eq!(open(&disk).1.records, [[7, 0], [7, 1], [7, 2]]);
}

#[test]
fn files_of_another_owner_are_set_aside_unchanged() {
    let disk = written();
    let content = disk.content(&path(0));
    let (mut storage, recovered) = open_as(
        &disk,
        &StorageSettings {
            owner: "south n2".into(),
            ..small_ring()
        },
    );
    assert!(recovered.is_empty() && !recovered.loses_state());
    let aside = Path::new(FOLDER).join("segment-0.aside-1");
    assert_matches!(&recovered.findings[..], [Finding::Foreign { segment: 0, reason: ForeignReason::Owner, aside: a }, ..] if *a == aside);
    assert_eq!(disk.content(aside.to_str().unwrap()), content);
    storage.replace_snapshot(b"south").unwrap();
    let (_, recovered) = open(&disk);
    assert!(recovered.is_empty());
    assert!(disk
        .names()
        .contains(&Path::new(FOLDER).join("segment-0.aside-2")));
    assert_eq!(disk.content(aside.to_str().unwrap()), content);
}

#[test]
fn files_of_another_format_or_of_none_are_set_aside() {
    let mut has_later_block = b"LSWS\x02\x00 of a later version".to_vec();
    has_later_block.resize(4096, 1);
    let cases = [
        (has_later_block, ForeignReason::Format(2)),
        (b"notes\n".to_vec(), ForeignReason::Unreadable),
    ];
    for (content, reason) in cases {
        let disk = written();
        disk.put(&path(2), Some(content.clone()));
        let (_, recovered) = open(&disk);
        let aside = Path::new(FOLDER).join("segment-2.aside-1");
        assert_eq!(
            recovered.findings,
            [Finding::Foreign {
                segment: 2,
                reason,
                aside: aside.clone()
            }]
        );
        assert_eq!(
            (
                records(&recovered).len(),
                disk.content(aside.to_str().unwrap())
            ),
            (3, Some(content))
        );
    }
}

#[test]
fn missing_file_is_reported_and_created_anew() {
    for (segment, may_have_been_newest) in [(1, true), (2, false)] {
        let disk = written();
        disk.put(&path(segment), None);
        let (_, recovered) = open(&disk);
        assert_eq!(
            recovered.findings,
            [Finding::MissingSegment {
                segment,
                may_have_been_newest
            }]
        );
        assert_eq!(records(&recovered).len(), 3);
        assert_eq!(open(&disk).1.findings, []);
    }
}

#[test]
fn full_disk_rejects_writes_and_keeps_the_stored_state() {
    let disk = written();
    let (mut storage, _) = open(&disk);
    disk.set_full(true);
    assert_matches!(storage.append(&[b"4".to_vec()]), Err(error) if error.is_disk_full());
    assert_matches!(storage.replace_snapshot(b"anew"), Err(error) if error.is_disk_full());
    assert_matches!(storage.append(&[b"4".to_vec()]), Err(error) if error.is_disk_full());
    disk.set_full(false);
    storage.append(&[b"5".to_vec()]).unwrap();
    let (_, recovered) = open(&disk);
    assert_eq!(records(&recovered), [b"1", b"2", b"3", b"5"]);
}

#[test]
fn bytes_are_written_again_after_a_failed_sync() {
    let disk = written();
    let (mut storage, _) = open(&disk);
    for _ in 0..3 {
        disk.fault_after(1, Fault::Error);
        assert_matches!(
            storage.append(&[vec![4; 1000]]),
            Err(StorageError::Io {
                operation: "sync",
                ..
            })
        );
    }
    storage.append(&[vec![4; 1000]]).unwrap();
    disk.lose_power(PowerLoss::KeepNothing);
    assert_eq!(open(&disk).1.records[3..], [vec![4; 1000]]);
}

#[test]
fn failed_snapshot_never_returns_once_records_follow_the_previous_one() {
    for operation in 0..4 {
        let disk = written();
        let (mut storage, _) = open(&disk);
        disk.fault_after(operation, Fault::Error);
        assert!(storage.replace_snapshot(b"anew").is_err());
        storage.append(&[b"4".to_vec()]).unwrap();
        let (_, recovered) = open(&disk);
        assert_eq!(
            recovered.snapshot.as_deref(),
            Some(&b"state"[..]),
            "operation {operation}"
        );
        assert_eq!(records(&recovered), [b"1", b"2", b"3", b"4"]);
    }
}

#[test]
fn snapshot_follows_a_full_segment() {
    let (mut storage, _) = open(&FakeDisk::new());
    storage.replace_snapshot(&[0; 900]).unwrap();
    assert_eq!(storage.usage().used_bytes, 1536);
    assert!(!storage.wants_snapshot() && storage.fits(1, 2516) && !storage.fits(1, 2517));
    let full = StorageError::SegmentFull {
        required: 3072,
        remaining: 2560,
    };
    assert_eq!(storage.append(&[vec![0; 2517]]), Err(full));
    storage.append(&[vec![0; 1800]]).unwrap();
    assert!(storage.wants_snapshot());
    storage.replace_snapshot(&[0; 10]).unwrap();
    assert!(!storage.wants_snapshot());
}

#[test]
fn long_snapshot_gets_a_longer_segment_with_space_after_it() {
    let disk = FakeDisk::new();
    let (mut storage, _) = open(&disk);
    storage.replace_snapshot(b"short").unwrap();
    storage.replace_snapshot(&[9; 10_000]).unwrap();
    let usage = storage.usage();
    assert_eq!(
        (usage.segment_bytes, usage.disk_bytes),
        (5 * 4096, 7 * 4096)
    );
    storage.append(&[vec![8; 5000]]).unwrap();
    let (_, recovered) = open(&disk);
    assert_eq!(
        (recovered.snapshot, recovered.records),
        (Some(vec![9; 10_000]), vec![vec![8; 5000]])
    );
}

#[test]
fn long_snapshot_on_a_full_disk_leaves_no_file() {
    let disk = written();
    let (mut storage, _) = open(&disk);
    disk.fault_after(1, Fault::Full);
    assert_matches!(storage.replace_snapshot(&[9; 10_000]), Err(error) if error.is_disk_full());
    assert_eq!(disk.names().len(), 3);
    storage.append(&[b"4".to_vec()]).unwrap();
    assert_eq!(records(&open(&disk).1), [b"1", b"2", b"3", b"4"]);
}

#[test]
fn records_are_stored_before_any_snapshot() {
    let disk = FakeDisk::new();
    let (mut storage, _) = open(&disk);
    storage.append(&[b"1".to_vec(), vec![]]).unwrap();
    let (_, recovered) = open(&disk);
    assert_eq!(
        (recovered.snapshot.is_none(), records(&recovered)),
        (true, vec![&b"1"[..], b""])
    );
}

#[test]
fn ring_with_more_segments_on_disk_keeps_them() {
    let disk = FakeDisk::new();
    let (mut storage, _) = open(&disk);
    (1..=3_u8).for_each(|snapshot| storage.replace_snapshot(&[snapshot]).unwrap());
    let (mut storage, recovered) = open_as(
        &disk,
        &StorageSettings {
            segments: 2,
            ..small_ring()
        },
    );
    assert_eq!(recovered.snapshot, Some(vec![3]));
    storage.replace_snapshot(&[4]).unwrap();
    let (_, recovered) = open_as(
        &disk,
        &StorageSettings {
            segments: 5,
            segment_bytes: 8192,
            ..small_ring()
        },
    );
    assert_eq!(recovered.snapshot, Some(vec![4]));
}

#[test]
fn invalid_settings_are_rejected() {
    for settings in [
        StorageSettings {
            segments: 1,
            ..small_ring()
        },
        StorageSettings {
            segment_bytes: 1024,
            ..small_ring()
        },
    ] {
        let opened = Storage::open_with(Box::new(FakeDisk::new()), Path::new(FOLDER), &settings);
        assert_matches!(opened, Err(StorageError::Settings(_)));
    }
}
