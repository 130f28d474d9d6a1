//! Torn, missing, stale, foreign and damaged content are told apart, and none of it is taken for
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

/// A disk with an image (in segment 0, one sector, a mark behind it) and three records, a sector
/// each.
fn written() -> FakeDisk {
    let disk = FakeDisk::new();
    let (mut storage, recovered) = open(&disk);
    assert!(recovered.is_empty());
    storage.replace_snapshot(b"image").unwrap();
    for record in [b"1", b"2", b"3"] {
        storage.append(&[record.to_vec()]).unwrap();
    }
    disk
}

fn records(recovered: &Recovered) -> Vec<&[u8]> {
    recovered.records.iter().map(Vec::as_slice).collect()
}

#[test]
fn what_was_written_is_found() {
    let (_, recovered) = open(&written());
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"image"[..]));
    assert_eq!(records(&recovered), [b"1", b"2", b"3"]);
    assert_eq!(recovered.findings, []);
}

#[test]
fn a_last_record_that_is_cut_off_is_torn() {
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
fn a_record_that_was_not_found_stays_away_though_the_disk_has_it() {
    let disk = written();
    disk.hide(&path(0), |bytes| bytes[4 * SECTOR + 41..].fill(0));
    assert_eq!(records(&open(&disk).1), [b"1", b"2"]);
    disk.lose_power(PowerLoss::NothingLeft);
    let (_, recovered) = open(&disk);
    assert_eq!(records(&recovered), [b"1", b"2"]);
    assert_eq!(recovered.findings, []);
}

#[test]
fn a_record_that_is_damaged_before_others_is_damage_and_only_an_image_may_follow() {
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
fn a_record_in_the_place_of_another_is_damage() {
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
fn a_record_that_is_missing_before_others_is_told_so() {
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
fn a_header_that_is_damaged_before_others_is_damage() {
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
fn an_image_that_is_damaged_never_lets_the_one_before_it_pass_for_newest() {
    for byte in [0, 5, 9, 17, 25, 29, 33, 37, 42] {
        let disk = written();
        let (mut storage, _) = open(&disk);
        storage.replace_snapshot(b"second").unwrap();
        storage.append(&[b"old".to_vec()]).unwrap();
        disk.damage(&path(1), |bytes| bytes[byte] ^= 0x40);
        let (mut storage, recovered) = open(&disk);
        assert_eq!(recovered.snapshot.as_deref(), Some(&b"image"[..]));
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
fn all_images_that_are_damaged_are_damage() {
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
fn an_image_that_was_cut_off_leaves_the_one_before_it() {
    let disk = written();
    let (mut storage, _) = open(&disk);
    disk.die_after(1);
    assert!(storage.replace_snapshot(&[7; 1500]).is_err());
    disk.restart();
    disk.damage(&path(1), |bytes| bytes[2 * SECTOR..].fill(0));
    let (_, recovered) = open(&disk);
    assert_eq!(
        (recovered.snapshot.as_deref(), recovered.records.len()),
        (Some(&b"image"[..]), 3)
    );
    assert!(!recovered.loses_state());
}

#[test]
fn records_of_an_older_generation_are_stale_and_never_return() {
    let disk = FakeDisk::new();
    let (mut storage, _) = open(&disk);
    for generation in 1..=7_u8 {
        storage.replace_snapshot(&[generation]).unwrap();
        // The earlier the generation, the more records: those of old stay behind the new ones.
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
fn files_of_another_owner_are_set_aside_whole() {
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
fn another_format_and_what_is_no_segment_are_set_aside() {
    let mut later = b"LSWS\x02\x00 of a later version".to_vec();
    later.resize(4096, 1);
    let cases = [
        (later, ForeignReason::Format(2)),
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
fn a_file_that_is_missing_is_told_and_made_anew() {
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
fn a_full_disk_refuses_and_what_was_stored_stays() {
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
fn after_a_sync_that_failed_the_bytes_are_written_again() {
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
    disk.lose_power(PowerLoss::NothingLeft);
    assert_eq!(open(&disk).1.records[3..], [vec![4; 1000]]);
}

#[test]
fn an_image_that_failed_after_its_sync_never_returns_once_records_follow_the_old_one() {
    for operation in 0..4 {
        let disk = written();
        let (mut storage, _) = open(&disk);
        disk.fault_after(operation, Fault::Error);
        assert!(storage.replace_snapshot(b"anew").is_err());
        storage.append(&[b"4".to_vec()]).unwrap();
        let (_, recovered) = open(&disk);
        assert_eq!(
            recovered.snapshot.as_deref(),
            Some(&b"image"[..]),
            "operation {operation}"
        );
        assert_eq!(records(&recovered), [b"1", b"2", b"3", b"4"]);
    }
}

#[test]
fn a_segment_fills_and_an_image_makes_room() {
    let (mut storage, _) = open(&FakeDisk::new());
    storage.replace_snapshot(&[0; 900]).unwrap();
    assert_eq!(storage.usage().used_bytes, 1536);
    assert!(!storage.wants_snapshot() && storage.fits(1, 2516) && !storage.fits(1, 2517));
    let full = StorageError::SegmentFull {
        wanted: 3072,
        left: 2560,
    };
    assert_eq!(storage.append(&[vec![0; 2517]]), Err(full));
    storage.append(&[vec![0; 1800]]).unwrap();
    assert!(storage.wants_snapshot());
    storage.replace_snapshot(&[0; 10]).unwrap();
    assert!(!storage.wants_snapshot());
}

#[test]
fn a_long_image_gets_a_longer_segment_and_room_behind_it() {
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
fn a_long_image_on_a_full_disk_leaves_nothing_behind() {
    let disk = written();
    let (mut storage, _) = open(&disk);
    disk.fault_after(1, Fault::Full);
    assert_matches!(storage.replace_snapshot(&[9; 10_000]), Err(error) if error.is_disk_full());
    assert_eq!(disk.names().len(), 3);
    storage.append(&[b"4".to_vec()]).unwrap();
    assert_eq!(records(&open(&disk).1), [b"1", b"2", b"3", b"4"]);
}

#[test]
fn records_may_come_before_any_image() {
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
fn a_ring_with_more_segments_on_disk_keeps_them() {
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
fn settings_that_make_no_ring_are_refused() {
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
