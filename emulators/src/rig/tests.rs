//! Tests of `rig`.

use super::*;

fn entry(at: u64, process: usize, event: Event) -> Entry {
    Entry {
        at: Duration::from_secs(at),
        process,
        event,
    }
}

fn down(at: u64, by: usize, of: usize) -> Entry {
    entry(
        at,
        by,
        Event::Logged(format!("lichenswitch: fleet: n{of} down (life 1): silent")),
    )
}

/// The checker is checked: it must find what was planted, and nothing else.
#[test]
fn overlapping_holders_and_non_growing_fencing_tokens_are_found() {
    let acquired = |at, process, fence: u64| {
        entry(
            at,
            process,
            Event::Logged(format!("x: duty d: held under fence {fence}: y")),
        )
    };
    let released = |at, process, ago: u64| {
        entry(
            at,
            process,
            Event::Logged(format!(
                "x: duty d: not held: the lease ran out {ago} ms ago"
            )),
        )
    };
    let judge = |entries: &[Entry]| {
        judge_holders(entries, "d", Duration::from_secs(1))
            .wrong
            .len()
    };
    assert_eq!(
        judge(&[
            acquired(1, 0, 1),
            released(4, 0, 0),
            acquired(5, 1, 2),
            acquired(6, 1, 2)
        ]),
        0
    );
    assert_eq!(
        judge(&[acquired(1, 0, 1), acquired(5, 1, 2), released(6, 0, 0)]),
        1,
        "two at a time"
    );
    assert_eq!(
        judge(&[acquired(1, 0, 1), acquired(5, 1, 2), released(6, 0, 1_500)]),
        0,
        "told late"
    );
    assert_eq!(
        judge(&[acquired(1, 0, 1), acquired(5, 1, 2)]),
        1,
        "and never over"
    );
    assert_eq!(
        judge(&[
            acquired(1, 0, 1),
            entry(3, 0, Event::Killed),
            acquired(5, 1, 2)
        ]),
        0
    );
    assert_eq!(
        judge(&[acquired(1, 0, 2), released(4, 0, 0), acquired(5, 1, 2)]),
        1,
        "the same fence"
    );
    assert_eq!(
        judge(&[acquired(1, 0, 2), released(4, 0, 0), acquired(5, 1, 1)]),
        1,
        "an older one"
    );
    let stopped = [
        acquired(1, 0, 1),
        entry(2, 0, Event::Stopped),
        acquired(5, 1, 2),
        entry(8, 0, Event::Continued),
    ];
    assert_eq!(
        judge(&[&stopped[..], &[released(8, 0, 4_000)]].concat()),
        0,
        "it stood still meanwhile"
    );
    assert_eq!(
        judge(&[&stopped[..], &[released(12, 0, 0)]].concat()),
        1,
        "it did not find out"
    );
}

#[test]
fn unexplained_death_is_found_and_explained_deaths_are_not() {
    let grace = Duration::from_secs(5);
    let start: Vec<Entry> = (0..3)
        .map(|process| entry(0, process, Event::Started))
        .collect();
    let judge = |more: &[Entry]| {
        let found = judge_deaths(&[&start, more].concat(), 3, grace);
        (found.checked, found.wrong.len())
    };
    assert_eq!(judge(&[down(20, 0, 1)]), (1, 1), "nothing had befallen it");
    assert_eq!(
        judge(&[entry(18, 1, Event::Killed), down(20, 0, 1), down(20, 0, 2)]),
        (2, 1)
    );
    let stopped = [entry(10, 1, Event::Stopped), entry(18, 1, Event::Continued)];
    assert_eq!(
        judge(&[&stopped[..], &[down(20, 0, 1)]].concat()),
        (1, 0),
        "told late"
    );
    assert_eq!(
        judge(&[&stopped[..], &[down(30, 0, 1)]].concat()),
        (1, 1),
        "too late to be that"
    );
    let cut = |at, from, to, works| entry(at, from, Event::Link(to, works));
    assert_eq!(
        judge(&[cut(9, 1, 0, false), down(20, 0, 1)]),
        (1, 1),
        "one way of several"
    );
    let off = [cut(9, 1, 0, false), cut(9, 1, 2, false)];
    let both = [down(20, 0, 1), down(20, 1, 0), down(20, 0, 2)];
    assert_eq!(
        judge(&[&off[..], &both].concat()),
        (3, 1),
        "it and what it says are excused, others are not"
    );
    let slept = [
        entry(10, 1, Event::Stopped),
        entry(18, 1, Event::Continued),
        down(19, 1, 0),
    ];
    assert_eq!(judge(&slept), (1, 1), "who stood still has to doubt itself");
    let mended = [cut(25, 1, 0, true)];
    assert_eq!(
        judge(&[&off[..], &mended, &[down(29, 0, 1)]].concat()),
        (1, 0)
    );
    assert_eq!(
        judge(&[&off[..], &mended, &[down(40, 0, 1)]].concat()),
        (1, 1)
    );
    assert_eq!(
        judge(&[entry(5, 0, Event::Logged("fleet: n9 down".into()))]),
        (0, 0)
    );
}
