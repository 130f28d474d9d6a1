//! The same seed results in the same figures, within the bounds of the operators' page.

use lichenswitch_experiments::members::play;

#[test]
fn small_fleet_detects_two_crashes_in_time_and_repeatably() {
    let (one, two) = (play(3, 9, 2), play(3, 9, 2));
    assert_eq!(format!("{one:?}"), format!("{two:?}"));
    assert_ne!(format!("{one:?}"), format!("{:?}", play(4, 9, 2)));
    assert_eq!((one.told, one.to_be_told, one.false_deaths), (15, 15, 0));
    assert!(
        one.detected_ms_most <= 6_000 && one.peer_bytes_per_s_each < 300.0,
        "{one:?}"
    );
}
