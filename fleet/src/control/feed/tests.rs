use super::*;

const OWN: u64 = 7;
const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(5_000 * MS + ms * MS)
}

fn primary() -> SocketAddr {
    "10.0.0.1:7300".parse().unwrap()
}

#[test]
fn contact_counts_from_the_own_word_that_is_echoed() {
    let mut feed = Feed::new(OWN);
    let first = feed.on_confirmed(at(0), None);
    assert!(
        !feed.is_in_contact(at(0)),
        "the primary may have said it long ago"
    );
    feed.on_confirmed(at(250), Some(first));
    assert!(
        feed.is_in_contact(at(250)) && feed.is_in_contact(at(899)) && !feed.is_in_contact(at(900))
    );
    assert_eq!(feed.next_wake(), Some(at(900)));
}

#[test]
fn what_is_read_late_gives_no_contact() {
    let mut feed = Feed::new(OWN);
    let first = feed.on_confirmed(at(0), None);
    let before = feed.on_confirmed(at(250), Some(first));
    // The process stands still for twenty seconds, and then reads what came at its beginning.
    feed.on_confirmed(at(20_000), Some(before));
    assert!(!feed.is_in_contact(at(20_000)));
}

#[test]
fn the_word_of_a_process_before_this_one_counts_for_nothing() {
    let mut feed = Feed::new(OWN);
    feed.on_confirmed(
        at(0),
        Some(ProcessInstant {
            process: OWN + 1,
            clock_us: at(0).0,
        }),
    );
    assert!(!feed.is_in_contact(at(0)));
}

#[test]
fn who_is_primary_is_a_hint_and_gives_no_contact() {
    let mut feed = Feed::new(OWN);
    feed.on_contact(at(0), primary(), true, Some(primary()));
    assert_eq!(
        (feed.primary(at(599)), feed.primary(at(600))),
        (Some(primary()), None)
    );
    assert!(!feed.is_in_contact(at(0)));
    // One that says that it is confirmed no more ends contact at once.
    let first = feed.on_confirmed(at(0), None);
    feed.on_confirmed(at(10), Some(first));
    assert!(feed.is_in_contact(at(20)));
    feed.on_contact(at(20), primary(), false, None);
    assert!(!feed.is_in_contact(at(20)));
}
