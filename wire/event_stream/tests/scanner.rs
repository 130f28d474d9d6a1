//! Events, ids and bytes are the same however a stream is split.

use lichenswitch_event_stream::{Event, ScanError, Scanner};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// All that a scanner reports of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct ScanResult {
    events: Vec<(Option<Vec<u8>>, Option<u64>)>,
    complete: Vec<u8>,
    partial: Vec<u8>,
    last_event_id: Option<Vec<u8>>,
    error: Option<ScanError>,
}

/// Scans chunks; `take` says how many of the complete bytes are forwarded after each.
fn scan(chunks: &[&[u8]], limit: usize, take: impl Fn(usize) -> usize) -> ScanResult {
    let (mut scanner, mut result) = (Scanner::new(limit), ScanResult::default());
    for chunk in chunks {
        let mut count = 0;
        let outcome = scanner.push_each(chunk, |Event { id, versions }| {
            result.events.push((id.map(<[u8]>::to_vec), versions));
            count += 1;
        });
        match outcome {
            Ok(outcome) => assert_eq!(
                (outcome.events, outcome.complete_bytes),
                (count, scanner.complete().len())
            ),
            Err(error) => result.error = Some(error),
        }
        let taken = take(scanner.complete().len());
        result
            .complete
            .extend_from_slice(&scanner.complete()[..taken]);
        scanner.advance(taken);
    }
    result.complete.extend_from_slice(scanner.complete());
    result.partial = scanner.partial().to_vec();
    result.last_event_id = scanner.last_event_id().map(<[u8]>::to_vec);
    result
}

fn scan_unsplit(stream: &[u8]) -> ScanResult {
    scan(&[stream], 1 << 16, |_| 0)
}

fn ids(result: &ScanResult) -> Vec<Option<&[u8]>> {
    result.events.iter().map(|(id, _)| id.as_deref()).collect()
}

/// A stream of fragments that matter to a scanner.
#[derive(Clone, Debug)]
struct Stream(Vec<u8>);

impl Arbitrary for Stream {
    fn arbitrary(g: &mut Gen) -> Self {
        const FRAGMENTS: &[&[u8]] = &[
            b"\n",
            b"\r",
            b"\r\n",
            b"\n\n",
            b"\r\n\r\n",
            b"\r\r",
            b"id: 7",
            b"id:8",
            b"id",
            b"i",
            b"data: x",
            b"versions: 12",
            b"versions: x",
            b":",
            b"\xef\xbb\xbf",
            b"\0",
            b" ",
            b"event: token\n",
            b"id: a\0b\n",
        ];
        let length = usize::arbitrary(g) % 24;
        Stream(
            (0..length)
                .flat_map(|_| g.choose(FRAGMENTS).copied().unwrap_or_default().to_vec())
                .collect(),
        )
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Stream))
    }
}

/// A stream that is split at these offsets.
fn split<'a>(stream: &'a [u8], positions: &[usize]) -> Vec<&'a [u8]> {
    let mut offsets: Vec<usize> = positions
        .iter()
        .map(|split| split % (stream.len() + 1))
        .collect();
    offsets.extend([0, stream.len()]);
    offsets.sort_unstable();
    offsets
        .windows(2)
        .map(|pair| &stream[pair[0]..pair[1]])
        .collect()
}

#[test]
fn all_line_endings_end_events() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = format!("id: 1{end}data: a{end}{end}id: 2{end}data: b{end}{end}data: c{end}");
        let result = scan_unsplit(stream.as_bytes());
        assert_eq!(
            ids(&result),
            [Some(&b"1"[..]), Some(b"2")],
            "line end {end:?}"
        );
        assert_eq!(
            result.partial,
            format!("data: c{end}").as_bytes(),
            "line end {end:?}"
        );
    }
}

#[test]
fn split_line_ending_belongs_to_its_event() {
    let mut scanner = Scanner::new(64);
    assert_eq!(scanner.push(b"data: a\r\n\r").unwrap().complete_bytes, 10);
    scanner.advance(10);
    let outcome = scanner.push(b"\ndata").unwrap();
    assert_eq!(
        (outcome.events, scanner.complete(), scanner.partial()),
        (0, &b"\n"[..], &b"data"[..])
    );
}

#[test]
fn last_event_id_stays_until_next_id() {
    let mut scanner = Scanner::new(64);
    assert_eq!(scanner.last_event_id(), None);
    scanner
        .push(b"id: 41\ndata: a\n\ndata: b\n\nid: 42\ndata: c")
        .unwrap();
    assert_eq!(scanner.last_event_id(), Some(&b"41"[..]));
    scanner.push(b"\n\n").unwrap();
    assert_eq!(scanner.last_event_id(), Some(&b"42"[..]));
}

#[test]
fn last_id_wins_and_id_with_zero_byte_is_ignored() {
    assert_eq!(
        ids(&scan_unsplit(b"id: 1\nid:2\n\nid: 3\nid: 4\0\n\nid\n\n")),
        [Some(&b"2"[..]), Some(b"3"), Some(b"")]
    );
}

#[test]
fn versions_field_counts_only_as_first_line() {
    let result =
        scan_unsplit(b"versions: 3\nid: 1\n\nid: 2\nversions: 4\n\nversions:5\n\nversions: 6x\n\n");
    let versions: Vec<_> = result
        .events
        .iter()
        .map(|(_, versions)| *versions)
        .collect();
    assert_eq!(versions, [Some(3), None, Some(5), None]);
}

#[test]
fn comments_are_forwarded_and_are_no_events() {
    let result = scan_unsplit(b": keep\n\n\n\n:\ndata: a\n\n");
    assert_eq!(
        (
            result.events.len(),
            result.complete.len(),
            result.partial.len()
        ),
        (1, 21, 0)
    );
}

#[test]
fn byte_order_mark_hides_no_id() {
    assert_eq!(
        ids(&scan_unsplit(b"\xef\xbb\xbfid: 1\n\n")),
        [Some(&b"1"[..])]
    );
}

#[test]
fn event_over_limit_is_an_error_and_earlier_ones_are_complete() {
    let result = scan(&[b"id: 1\n\ndata: 0123456789\n\nid: 2\n\n"], 10, |_| 0);
    assert_eq!(
        (result.complete.as_slice(), result.events.len()),
        (&b"id: 1\n\n"[..], 1)
    );
    assert_eq!(
        result.error,
        Some(ScanError::EventTooLong { limit_bytes: 10 })
    );
}

#[test]
fn memory_is_bounded_by_limit_and_chunk() {
    let mut scanner = Scanner::new(1000);
    let refused = (0..).find(|_| scanner.push(&[b'x'; 100]).is_err());
    assert_eq!(refused, Some(10));
    assert!(scanner.push(&[b'x'; 100]).is_err());
    assert_eq!(scanner.partial().len(), 1100);
}

#[test]
fn any_split_gives_same_events() {
    fn holds(stream: Stream, positions: Vec<usize>, share: usize) -> bool {
        let result = scan(&split(&stream.0, &positions), 1 << 16, |complete| {
            complete * (share % 4) / 3
        });
        let mut all = result.complete.clone();
        all.extend_from_slice(&result.partial);
        result == scan_unsplit(&stream.0) && all == stream.0
    }
    QuickCheck::new()
        .tests(50_000)
        .quickcheck(holds as fn(Stream, Vec<usize>, usize) -> bool);
}

#[test]
fn split_after_each_byte_gives_same_events() {
    fn holds(stream: Stream) -> bool {
        let bytes: Vec<&[u8]> = stream.0.chunks(1).collect();
        scan(&bytes, 1 << 16, |complete| complete) == scan_unsplit(&stream.0)
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(holds as fn(Stream) -> bool);
}

#[test]
fn limit_applies_to_same_event_at_any_split() {
    fn holds(stream: Stream, positions: Vec<usize>, limit: usize) -> bool {
        let limit = limit % 40;
        let (split, complete) = (
            scan(&split(&stream.0, &positions), limit, |complete| complete),
            scan(&[&stream.0], limit, |_| 0),
        );
        (split.events, split.complete, split.error)
            == (complete.events, complete.complete, complete.error)
    }
    QuickCheck::new()
        .tests(50_000)
        .quickcheck(holds as fn(Stream, Vec<usize>, usize) -> bool);
}

#[test]
fn arbitrary_bytes_are_scanned() {
    fn holds(stream: Vec<u8>, positions: Vec<usize>) -> bool {
        scan(&split(&stream, &positions), 1 << 16, |complete| complete) == scan_unsplit(&stream)
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(holds as fn(Vec<u8>, Vec<usize>) -> bool);
}
