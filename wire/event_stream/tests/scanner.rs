//! Events, ids and bytes are the same wherever a stream is cut.

use lichenswitch_event_stream::{Event, ScanError, Scanner};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// All that a scanner tells of a stream.
#[derive(Debug, Default, PartialEq, Eq)]
struct Told {
    events: Vec<(Option<Vec<u8>>, Option<u64>)>,
    whole: Vec<u8>,
    partial: Vec<u8>,
    last_event_id: Option<Vec<u8>>,
    error: Option<ScanError>,
}

/// Scans chunks; `take` says how much of what is whole is passed on after each.
fn scan(chunks: &[&[u8]], limit: usize, take: impl Fn(usize) -> usize) -> Told {
    let (mut scanner, mut told) = (Scanner::new(limit), Told::default());
    for chunk in chunks {
        let mut count = 0;
        let pushed = scanner.push_each(chunk, |Event { id, versions }| {
            told.events.push((id.map(<[u8]>::to_vec), versions));
            count += 1;
        });
        match pushed {
            Ok(pushed) => assert_eq!(
                (pushed.events, pushed.whole_bytes),
                (count, scanner.whole().len())
            ),
            Err(error) => told.error = Some(error),
        }
        let taken = take(scanner.whole().len());
        told.whole.extend_from_slice(&scanner.whole()[..taken]);
        scanner.advance(taken);
    }
    told.whole.extend_from_slice(scanner.whole());
    told.partial = scanner.partial().to_vec();
    told.last_event_id = scanner.last_event_id().map(<[u8]>::to_vec);
    told
}

fn scan_whole(stream: &[u8]) -> Told {
    scan(&[stream], 1 << 16, |_| 0)
}

fn ids(told: &Told) -> Vec<Option<&[u8]>> {
    told.events.iter().map(|(id, _)| id.as_deref()).collect()
}

/// A stream made of pieces that matter to a scanner.
#[derive(Clone, Debug)]
struct Stream(Vec<u8>);

impl Arbitrary for Stream {
    fn arbitrary(g: &mut Gen) -> Self {
        const PIECES: &[&[u8]] = &[
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
                .flat_map(|_| g.choose(PIECES).copied().unwrap_or_default().to_vec())
                .collect(),
        )
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Stream))
    }
}

/// A stream cut at these places.
fn cut<'a>(stream: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = cuts.iter().map(|cut| cut % (stream.len() + 1)).collect();
    places.extend([0, stream.len()]);
    places.sort_unstable();
    places
        .windows(2)
        .map(|pair| &stream[pair[0]..pair[1]])
        .collect()
}

#[test]
fn all_line_endings_end_events() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = format!("id: 1{end}data: a{end}{end}id: 2{end}data: b{end}{end}data: c{end}");
        let told = scan_whole(stream.as_bytes());
        assert_eq!(
            ids(&told),
            [Some(&b"1"[..]), Some(b"2")],
            "line end {end:?}"
        );
        assert_eq!(
            told.partial,
            format!("data: c{end}").as_bytes(),
            "line end {end:?}"
        );
    }
}

#[test]
fn split_line_ending_belongs_to_its_event() {
    let mut scanner = Scanner::new(64);
    assert_eq!(scanner.push(b"data: a\r\n\r").unwrap().whole_bytes, 10);
    scanner.advance(10);
    let pushed = scanner.push(b"\ndata").unwrap();
    assert_eq!(
        (pushed.events, scanner.whole(), scanner.partial()),
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
        ids(&scan_whole(b"id: 1\nid:2\n\nid: 3\nid: 4\0\n\nid\n\n")),
        [Some(&b"2"[..]), Some(b"3"), Some(b"")]
    );
}

#[test]
fn versions_field_counts_only_as_first_line() {
    let told =
        scan_whole(b"versions: 3\nid: 1\n\nid: 2\nversions: 4\n\nversions:5\n\nversions: 6x\n\n");
    let versions: Vec<_> = told.events.iter().map(|(_, versions)| *versions).collect();
    assert_eq!(versions, [Some(3), None, Some(5), None]);
}

#[test]
fn comments_are_forwarded_and_are_no_events() {
    let told = scan_whole(b": keep\n\n\n\n:\ndata: a\n\n");
    assert_eq!(
        (told.events.len(), told.whole.len(), told.partial.len()),
        (1, 21, 0)
    );
}

#[test]
fn byte_order_mark_hides_no_id() {
    assert_eq!(
        ids(&scan_whole(b"\xef\xbb\xbfid: 1\n\n")),
        [Some(&b"1"[..])]
    );
}

#[test]
fn event_over_limit_is_an_error_and_earlier_ones_are_complete() {
    let told = scan(&[b"id: 1\n\ndata: 0123456789\n\nid: 2\n\n"], 10, |_| 0);
    assert_eq!(
        (told.whole.as_slice(), told.events.len()),
        (&b"id: 1\n\n"[..], 1)
    );
    assert_eq!(
        told.error,
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
    fn holds(stream: Stream, cuts: Vec<usize>, share: usize) -> bool {
        let told = scan(&cut(&stream.0, &cuts), 1 << 16, |whole| {
            whole * (share % 4) / 3
        });
        let mut all = told.whole.clone();
        all.extend_from_slice(&told.partial);
        told == scan_whole(&stream.0) && all == stream.0
    }
    QuickCheck::new()
        .tests(50_000)
        .quickcheck(holds as fn(Stream, Vec<usize>, usize) -> bool);
}

#[test]
fn split_after_each_byte_gives_same_events() {
    fn holds(stream: Stream) -> bool {
        let bytes: Vec<&[u8]> = stream.0.chunks(1).collect();
        scan(&bytes, 1 << 16, |whole| whole) == scan_whole(&stream.0)
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(holds as fn(Stream) -> bool);
}

#[test]
fn limit_applies_to_same_event_at_any_split() {
    fn holds(stream: Stream, cuts: Vec<usize>, limit: usize) -> bool {
        let limit = limit % 40;
        let (cut, whole) = (
            scan(&cut(&stream.0, &cuts), limit, |whole| whole),
            scan(&[&stream.0], limit, |_| 0),
        );
        (cut.events, cut.whole, cut.error) == (whole.events, whole.whole, whole.error)
    }
    QuickCheck::new()
        .tests(50_000)
        .quickcheck(holds as fn(Stream, Vec<usize>, usize) -> bool);
}

#[test]
fn arbitrary_bytes_are_scanned() {
    fn holds(stream: Vec<u8>, cuts: Vec<usize>) -> bool {
        scan(&cut(&stream, &cuts), 1 << 16, |whole| whole) == scan_whole(&stream)
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(holds as fn(Vec<u8>, Vec<usize>) -> bool);
}
