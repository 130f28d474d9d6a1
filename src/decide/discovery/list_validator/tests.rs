//! Tests of `list_validator`.

use super::*;

const NOW: Time = Time(5_000_000);

fn received(generation: u64, is_complete: bool, lines: usize) -> ReceivedList {
    ReceivedList {
        generation,
        is_complete,
        lines,
    }
}

#[test]
fn sound_list_and_first_list_are_accepted() {
    let mut validator = ListValidator::new(2_000_000);
    for (list, present, known) in [
        (received(7, true, 3), None, 0),
        (received(7, true, 0), None, 0),
        (received(8, false, 0), Some(8), 3),
        (received(9, false, 2), Some(8), 3),
        (received(9, true, 1), Some(8), 200),
    ] {
        assert_eq!(
            validator.on_list(NOW, list, present, known),
            Verdict::Accept(Reason::Sound),
            "{list:?}"
        );
    }
}

#[test]
fn older_or_empty_list_is_confirmed_once_and_then_accepted() {
    let cases = [
        (received(7, false, 2), Reason::Older(7, 8)),
        (received(7, true, 2), Reason::Older(7, 8)),
        (received(9, true, 0), Reason::Empty(3)),
    ];
    for (list, reason) in cases {
        let mut validator = ListValidator::new(2_000_000);
        assert_eq!(
            validator.on_list(NOW, list, Some(8), 3),
            Verdict::Confirm(reason, NOW.plus(1_000_000))
        );
        let is_complete = received(list.generation, true, 0);
        assert_eq!(
            validator.on_list(NOW, is_complete, None, 3),
            Verdict::Accept(Reason::Confirmed),
            "{reason}"
        );
        assert!(
            matches!(
                validator.on_list(NOW, list, Some(8), 3),
                Verdict::Confirm(..)
            ),
            "the next suspect list has to be confirmed again"
        );
        validator.on_failure();
        assert!(
            matches!(
                validator.on_list(NOW, list, Some(8), 3),
                Verdict::Confirm(..)
            ),
            "a failed request confirms nothing"
        );
    }
}

#[test]
fn confirmation_deadline_is_half_of_the_stop_time() {
    for (stop_within, confirm) in [(2_000_000, 1_000_000), (500_000, 250_000)] {
        let verdict =
            ListValidator::new(stop_within).on_list(NOW, received(8, true, 0), Some(7), 3);
        assert_eq!(
            verdict,
            Verdict::Confirm(Reason::Empty(3), NOW.plus(confirm))
        );
    }
}
