use super::*;

#[test]
fn a_read_that_came_after_an_acknowledgement_shows_at_least_that_version() {
    let mut acknowledged = Acknowledged::default();
    assert!(
        acknowledged.allows(Time(5), 0),
        "nothing is acknowledged yet"
    );
    acknowledged.on_acknowledged(Time(10), 3);
    acknowledged.on_acknowledged(Time(20), 7);
    assert!(acknowledged.allows(Time(10), 0), "it was under way");
    assert!(acknowledged.allows(Time(15), 3));
    assert!(!acknowledged.allows(Time(15), 2));
    assert!(!acknowledged.allows(Time(25), 3));
    assert!(acknowledged.allows(Time(25), 9));
}

#[test]
fn a_repeat_of_an_older_order_takes_nothing_back() {
    let mut acknowledged = Acknowledged::default();
    acknowledged.on_acknowledged(Time(10), 7);
    acknowledged.on_acknowledged(Time(20), 3);
    assert!(!acknowledged.allows(Time(30), 3));
}

#[test]
fn what_is_forgotten_stays_below_what_is_remembered() {
    let mut acknowledged = Acknowledged::default();
    for version in 1..=200 {
        acknowledged.on_acknowledged(Time(version), version);
    }
    assert!(!acknowledged.allows(Time(300), 199));
    assert!(acknowledged.allows(Time(300), 200));
}

#[test]
fn the_version_is_read_where_an_answer_begins_with_it() {
    assert_eq!(version_in(b"{\"version\":42,\"routes\":[]}"), Some(42));
    assert_eq!(version_in(b"{\"version\":7}"), Some(7));
    assert_eq!(version_in(b"{\"error\":\"x\"}"), None);
    assert_eq!(version_in(b"{\"version\":}"), None);
}
