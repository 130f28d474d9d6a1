//! Tests of `wanted`.

use super::*;
use assert_matches::assert_matches;

const NOW: Time = Time(1_700_000_000_000_000);

fn listed(id: &str) -> bool {
    ["a", "b"].contains(&id)
}

fn set(wanted: &Wanted, change: Change) -> Wanted {
    match wanted.on_change(NOW, &change, listed) {
        Ok(Verdict::Set(next, _)) => next,
        other => panic!("{other:?}"),
    }
}

fn cordon(id: &str) -> Change {
    Change::Cordon(id.into())
}

fn uncordon(id: &str) -> Change {
    Change::Uncordon(id.into())
}

#[test]
fn a_cordon_may_come_twice_and_one_uncordon_undoes_both() {
    let once = set(&Wanted::default(), cordon("a"));
    assert_eq!((once.revision, once.cordoned.get("a")), (1, Some(&NOW.0)));
    let again = once.on_change(NOW, &cordon("a"), listed);
    assert_eq!(again, Ok(Verdict::Same(Reason::WasOut("a".into()))));
    let back = set(&once, uncordon("a"));
    assert!(back.cordoned.is_empty() && back.back.get("a") == Some(&(NOW.0, NOW.0)));
    assert_matches!(
        back.on_change(NOW, &uncordon("a"), listed),
        Ok(Verdict::Same(Reason::WasIn(_)))
    );
}

#[test]
fn an_unknown_id_is_refused_and_one_that_left_the_list_while_out_is_known() {
    let wanted = Wanted::default();
    for change in [cordon("x"), uncordon("x")] {
        assert_eq!(
            wanted.on_change(NOW, &change, listed),
            Err(Refused::Unknown("x".into()))
        );
    }
    let out = set(&wanted, cordon("a"));
    assert_matches!(
        out.on_change(NOW, &cordon("a"), |_| false),
        Ok(Verdict::Same(_))
    );
    assert_matches!(
        out.on_change(NOW, &uncordon("a"), |_| false),
        Ok(Verdict::Set(..))
    );
}

#[test]
fn clients_are_sent_away_until_they_are_called_back_however_often_it_is_said() {
    let away = set(&Wanted::default(), Change::Quiesce);
    assert_eq!(away.quiesced, Some(NOW.0));
    assert_eq!(
        away.on_change(NOW, &Change::Quiesce, listed),
        Ok(Verdict::Same(Reason::WasAway))
    );
    let back = set(&away, Change::Resume);
    assert_eq!(back.quiesced, None);
    assert_eq!(
        back.on_change(NOW, &Change::Resume, listed),
        Ok(Verdict::Same(Reason::WasResumed))
    );
    // One that begins beside another one of the broker does as that does; one that begins alone
    // serves.
    assert_eq!(away.clone().on_start(true).quiesced, Some(NOW.0));
    assert_eq!(away.on_start(false).quiesced, None);
}

#[test]
fn what_was_put_back_is_forgotten_after_a_time() {
    let back = set(&set(&Wanted::default(), cordon("a")), uncordon("a"));
    let later = NOW.plus(BACK);
    assert_matches!(
        back.on_change(later, &cordon("b"), listed),
        Ok(Verdict::Set(Wanted { back, .. }, _)) if back.is_empty()
    );
}

#[test]
fn what_is_kept_is_read_back_by_its_owner_alone_and_not_for_ever() {
    let wanted = set(&set(&Wanted::default(), cordon("a")), Change::Quiesce);
    let kept = wanted.encode("n0", NOW);
    assert_eq!(Wanted::decode(&kept, "n0", NOW), Ok(wanted.clone()));
    assert_eq!(
        Wanted::decode(&kept, "n1", NOW),
        Err(NoState::Owner("n0".into()))
    );
    assert_eq!(
        Wanted::decode(&kept, "n0", NOW.plus(OLD)),
        Err(NoState::Old(86_400))
    );
    assert_eq!(Wanted::decode(&kept, "n0", NOW.plus(OLD - 1)), Ok(wanted));
}

#[test]
fn whatever_is_torn_off_or_changed_is_no_state() {
    let wanted = set(&Wanted::default(), cordon("a"));
    let kept = wanted.encode("n0", NOW);
    for length in 0..kept.len() {
        assert!(
            Wanted::decode(&kept[..length], "n0", NOW).is_err(),
            "{length}"
        );
    }
    for at in 0..kept.len() {
        let mut changed = kept.clone();
        changed[at] ^= 1;
        // Digits of the sum are the only bytes that may be written in another way.
        assert!(
            Wanted::decode(&changed, "n0", NOW).map_or(true, |read| read == wanted),
            "{at}"
        );
    }
    assert_eq!(
        Wanted::decode(b"#!/bin/sh\n", "n0", NOW),
        Err(NoState::Foreign)
    );
    assert_eq!(
        Wanted::decode(b"lichenswitch wanted 2\n00\n{}\n", "n0", NOW),
        Err(NoState::Foreign)
    );
}

#[test]
fn what_is_out_is_bounded() {
    let cordoned = (0..MOST).map(|i| (i.to_string(), 0)).collect();
    let full = Wanted {
        cordoned,
        ..Wanted::default()
    };
    assert_eq!(
        full.on_change(NOW, &cordon("a"), listed),
        Err(Refused::TooMany)
    );
}

#[test]
fn what_was_taken_out_is_a_last_resort_for_a_part_of_the_time_that_the_rule_allows() {
    let out = |ms: u64| is_out(NOW, NOW.plus(ms * 1_000), 2_000_000);
    assert_eq!(
        [out(0), out(1_199), out(1_200), out(60_000)],
        [false, false, true, true]
    );
    assert!(
        is_out(NOW, NOW, 0),
        "where the rule allows no time there is none"
    );
}
