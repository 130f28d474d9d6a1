//! Tests of `doubt`.

use super::*;

const NOW: Time = Time(5_000_000);

fn told(generation: u64, whole: bool, lines: usize) -> Told {
    Told {
        generation,
        whole,
        lines,
    }
}

#[test]
fn sound_lists_are_taken_and_the_first_one_whatever_it_says() {
    let mut doubt = Doubt::new(2_000_000);
    for (list, held, known) in [
        (told(7, true, 3), None, 0),
        (told(7, true, 0), None, 0),
        (told(8, false, 0), Some(8), 3),
        (told(9, false, 2), Some(8), 3),
        (told(9, true, 1), Some(8), 200),
    ] {
        assert_eq!(
            doubt.on_list(NOW, list, held, known),
            Verdict::Take(Reason::Sound),
            "{list:?}"
        );
    }
}

#[test]
fn older_and_empty_lists_are_confirmed_once_and_then_believed() {
    let cases = [
        (told(7, false, 2), Reason::Older(7, 8)),
        (told(7, true, 2), Reason::Older(7, 8)),
        (told(9, true, 0), Reason::Empty(3)),
    ];
    for (list, why) in cases {
        let mut doubt = Doubt::new(2_000_000);
        assert_eq!(
            doubt.on_list(NOW, list, Some(8), 3),
            Verdict::Confirm(why, NOW.plus(1_000_000))
        );
        let whole = told(list.generation, true, 0);
        assert_eq!(
            doubt.on_list(NOW, whole, None, 3),
            Verdict::Take(Reason::Confirmed),
            "{why}"
        );
        assert!(
            matches!(doubt.on_list(NOW, list, Some(8), 3), Verdict::Confirm(..)),
            "doubted anew"
        );
        doubt.on_failure();
        assert!(
            matches!(doubt.on_list(NOW, list, Some(8), 3), Verdict::Confirm(..)),
            "nothing confirmed it"
        );
    }
}

#[test]
fn what_a_doubted_list_wants_stopped_is_stopped_within_the_rule_of_the_deployment() {
    for (stop_within, confirm) in [(2_000_000, 1_000_000), (500_000, 250_000)] {
        let verdict = Doubt::new(stop_within).on_list(NOW, told(8, true, 0), Some(7), 3);
        assert_eq!(
            verdict,
            Verdict::Confirm(Reason::Empty(3), NOW.plus(confirm))
        );
    }
}
