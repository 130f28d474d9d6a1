//! Tests of `keep`.

use super::*;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("keep-{name}-{}", std::process::id())))
    }
    fn bytes(&self) -> Vec<u8> {
        std::fs::read(self.0.join("memory")).unwrap()
    }
    fn write(&self, bytes: &[u8]) {
        std::fs::write(self.0.join("memory"), bytes).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn some(count: u8) -> Vec<Vec<u8>> {
    (0..count).map(|i| vec![i; usize::from(i) * 3]).collect()
}

#[test]
fn wherever_a_file_is_cut_off_all_records_before_that_are_there_and_no_other() {
    let folder = Folder::new("torn");
    let (mut keep, _) = Keep::open(&folder.0, "c n0").unwrap();
    let empty = folder.bytes().len();
    some(8)
        .chunks(3)
        .for_each(|records| keep.append(records).unwrap());
    let whole = folder.bytes();
    let mut ends = vec![empty];
    some(8)
        .iter()
        .for_each(|r| ends.push(ends.last().unwrap() + 12 + r.len()));
    for cut in empty..=whole.len() {
        folder.write(&whole[..cut]);
        let (mut keep, found) = Keep::open(&folder.0, "c n0").unwrap();
        let count = ends.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(
            (found.records, found.torn),
            (some(8)[..count].to_vec(), cut - ends[count]),
            "{cut}"
        );
        // What comes next stands behind the last whole one.
        keep.append(&[b"next".to_vec()]).unwrap();
        let (_, found) = Keep::open(&folder.0, "c n0").unwrap();
        assert_eq!((found.records.len(), found.torn), (count + 1, 0));
    }
}

#[test]
fn a_damaged_file_and_one_of_another_owner_are_set_aside_and_stay() {
    let folder = Folder::new("aside");
    let (mut keep, _) = Keep::open(&folder.0, "c n0").unwrap();
    keep.append(&some(5)).unwrap();
    let whole = folder.bytes();
    let start = whole.len() - some(5).iter().map(|r| 12 + r.len()).sum::<usize>();
    for at in start..whole.len() {
        let mut bad = whole.clone();
        bad[at] ^= 1;
        folder.write(&bad);
        let (_, found) = Keep::open(&folder.0, "c n0").unwrap();
        let (aside, why) = found.aside.unwrap();
        assert!(why.contains("record"), "{at}: {why}");
        assert!(found.records.is_empty() && std::fs::read(aside).unwrap() == bad);
    }
    folder.write(&whole);
    let (_, found) = Keep::open(&folder.0, "d n0").unwrap();
    let (aside, why) = found.aside.unwrap();
    assert!(
        why.contains("it does not name its owner: \"d n0\""),
        "{why}"
    );
    assert_eq!(std::fs::read(aside).unwrap(), whole);
    for garbage in [&b""[..], b"lichenswitch", b"\0\0\0\0\0"] {
        folder.write(garbage);
        assert!(
            Keep::open(&folder.0, "c n0").unwrap().1.aside.is_some(),
            "{garbage:?}"
        );
    }
}

#[test]
fn one_record_takes_the_place_of_all_and_a_file_that_was_half_written_beside_it_is_none() {
    let folder = Folder::new("replace");
    let (mut keep, _) = Keep::open(&folder.0, "c n0").unwrap();
    while !keep.is_large() {
        keep.append(&[vec![7; 100_000]]).unwrap();
    }
    keep.replace(b"short").unwrap();
    assert!(!keep.is_large() && folder.bytes().len() < 100);
    std::fs::write(folder.0.join("memory.new"), b"half").unwrap();
    keep.append(&[b"more".to_vec()]).unwrap();
    let (_, found) = Keep::open(&folder.0, "c n0").unwrap();
    assert_eq!(found.records, [b"short".to_vec(), b"more".to_vec()]);
    let file = folder.0.join("memory").join("no folder");
    assert!(Keep::open(&file, "c n0").is_err());
}
