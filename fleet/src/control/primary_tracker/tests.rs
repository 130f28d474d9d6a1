use super::*;

const THIS_PROCESS: u64 = 7;
const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(5_000 * MS + ms * MS)
}

fn primary() -> SocketAddr {
    "10.0.0.1:7300".parse().unwrap()
}

#[test]
fn contact_counts_from_sending_of_echoed_acknowledgement() {
    let mut tracker = PrimaryTracker::new(THIS_PROCESS);
    let first = tracker.on_confirmed(at(0), None);
    assert!(!tracker.is_in_contact(at(0)), "the confirmation may be old");
    tracker.on_confirmed(at(250), Some(first));
    assert!(
        tracker.is_in_contact(at(250))
            && tracker.is_in_contact(at(899))
            && !tracker.is_in_contact(at(900))
    );
    assert_eq!(tracker.next_wake(), Some(at(900)));
}

#[test]
fn confirmation_that_is_read_late_gives_no_contact() {
    let mut tracker = PrimaryTracker::new(THIS_PROCESS);
    let first = tracker.on_confirmed(at(0), None);
    let before = tracker.on_confirmed(at(250), Some(first));
    // The process is suspended for 20 s and then reads a message that arrived at the beginning.
    tracker.on_confirmed(at(20_000), Some(before));
    assert!(!tracker.is_in_contact(at(20_000)));
}

#[test]
fn echo_to_earlier_process_gives_no_contact() {
    let mut tracker = PrimaryTracker::new(THIS_PROCESS);
    tracker.on_confirmed(
        at(0),
        Some(ProcessInstant {
            process: THIS_PROCESS + 1,
            clock_us: at(0).0,
        }),
    );
    assert!(!tracker.is_in_contact(at(0)));
}

#[test]
fn address_of_primary_gives_no_contact() {
    let mut tracker = PrimaryTracker::new(THIS_PROCESS);
    tracker.on_contact(at(0), primary(), true, Some(primary()));
    assert_eq!(
        (tracker.primary(at(599)), tracker.primary(at(600))),
        (Some(primary()), None)
    );
    assert!(!tracker.is_in_contact(at(0)));
    // A primary that reports lost contact ends contact at once.
    let first = tracker.on_confirmed(at(0), None);
    tracker.on_confirmed(at(10), Some(first));
    assert!(tracker.is_in_contact(at(20)));
    tracker.on_contact(at(20), primary(), false, None);
    assert!(!tracker.is_in_contact(at(20)));
}
