//! Tests of `record_log`.

use super::*;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("record-log-{name}-{}", std::process::id())))
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
fn truncated_file_is_read_up_to_its_last_complete_record() {
    let folder = Folder::new("torn");
    let (mut log, _) = RecordLog::open(&folder.0, "c n0").unwrap();
    let empty = folder.bytes().len();
    some(8)
        .chunks(3)
        .for_each(|records| log.append(records).unwrap());
    let complete = folder.bytes();
    let mut ends = vec![empty];
    some(8)
        .iter()
        .for_each(|r| ends.push(ends.last().unwrap() + 12 + r.len()));
    for cut in empty..=complete.len() {
        folder.write(&complete[..cut]);
        let (mut log, recovered) = RecordLog::open(&folder.0, "c n0").unwrap();
        let count = ends.iter().filter(|end| **end <= cut).count() - 1;
        assert_eq!(
            (recovered.records, recovered.torn_bytes),
            (some(8)[..count].to_vec(), cut - ends[count]),
            "{cut}"
        );
        // The next record follows the last complete one.
        log.append(&[b"next".to_vec()]).unwrap();
        let (_, recovered) = RecordLog::open(&folder.0, "c n0").unwrap();
        assert_eq!(
            (recovered.records.len(), recovered.torn_bytes),
            (count + 1, 0)
        );
    }
}

#[test]
fn damaged_file_and_file_of_another_owner_are_set_aside_unchanged() {
    let folder = Folder::new("aside");
    let (mut log, _) = RecordLog::open(&folder.0, "c n0").unwrap();
    log.append(&some(5)).unwrap();
    let complete = folder.bytes();
    let start = complete.len() - some(5).iter().map(|r| 12 + r.len()).sum::<usize>();
    for at in start..complete.len() {
        let mut bad = complete.clone();
        bad[at] ^= 1;
        folder.write(&bad);
        let (_, recovered) = RecordLog::open(&folder.0, "c n0").unwrap();
        let SetAsideFile { path, damage } = recovered.set_aside.unwrap();
        let why = damage.to_string();
        assert!(why.contains("record"), "{at}: {why}");
        assert!(recovered.records.is_empty() && std::fs::read(path).unwrap() == bad);
    }
    folder.write(&complete);
    let (_, recovered) = RecordLog::open(&folder.0, "d n0").unwrap();
    let SetAsideFile { path, damage } = recovered.set_aside.unwrap();
    let why = damage.to_string();
    assert!(
        why.contains("it does not name its owner: \"d n0\""),
        "{why}"
    );
    assert_eq!(std::fs::read(path).unwrap(), complete);
    for garbage in [&b""[..], b"lichenswitch", b"\0\0\0\0\0"] {
        folder.write(garbage);
        assert!(
            RecordLog::open(&folder.0, "c n0")
                .unwrap()
                .1
                .set_aside
                .is_some(),
            "{garbage:?}"
        );
    }
}

#[test]
fn replacing_record_stands_for_all_and_a_partly_written_new_file_is_ignored() {
    let folder = Folder::new("replace");
    let (mut log, _) = RecordLog::open(&folder.0, "c n0").unwrap();
    while !log.is_large() {
        log.append(&[vec![7; 100_000]]).unwrap();
    }
    log.replace(b"short").unwrap();
    assert!(!log.is_large() && folder.bytes().len() < 100);
    std::fs::write(folder.0.join("memory.new"), b"half").unwrap();
    log.append(&[b"more".to_vec()]).unwrap();
    let (_, recovered) = RecordLog::open(&folder.0, "c n0").unwrap();
    assert_eq!(recovered.records, [b"short".to_vec(), b"more".to_vec()]);
    let file = folder.0.join("memory").join("no folder");
    assert!(RecordLog::open(&file, "c n0").is_err());
}
