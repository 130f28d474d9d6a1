//! Tests of `desired_state`.

use super::*;
use assert_matches::assert_matches;

const NOW: Time = Time(1_700_000_000_000_000);

fn is_listed(id: &str) -> bool {
    ["a", "b"].contains(&id)
}

fn set(state: &DesiredState, change: Change) -> DesiredState {
    match state.on_change(NOW, &change, is_listed) {
        Ok(Verdict::Changed(next, _)) => next,
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
fn repeated_cordon_is_undone_by_one_uncordon() {
    let once = set(&DesiredState::default(), cordon("a"));
    assert_eq!((once.revision, once.cordoned.get("a")), (1, Some(&NOW.0)));
    let again = once.on_change(NOW, &cordon("a"), is_listed);
    assert_eq!(
        again,
        Ok(Verdict::Unchanged(Reason::AlreadyCordoned("a".into())))
    );
    let back = set(&once, uncordon("a"));
    assert!(back.cordoned.is_empty() && back.uncordoned.get("a") == Some(&(NOW.0, NOW.0)));
    assert_matches!(
        back.on_change(NOW, &uncordon("a"), is_listed),
        Ok(Verdict::Unchanged(Reason::NotCordoned(_)))
    );
}

#[test]
fn unknown_id_is_rejected_and_a_cordoned_one_is_known_though_not_listed() {
    let state = DesiredState::default();
    for change in [cordon("x"), uncordon("x")] {
        assert_eq!(
            state.on_change(NOW, &change, is_listed),
            Err(ChangeError::UnknownServer("x".into()))
        );
    }
    let out = set(&state, cordon("a"));
    assert_matches!(
        out.on_change(NOW, &cordon("a"), |_| false),
        Ok(Verdict::Unchanged(_))
    );
    assert_matches!(
        out.on_change(NOW, &uncordon("a"), |_| false),
        Ok(Verdict::Changed(..))
    );
}

#[test]
fn clients_are_sent_away_until_one_resume() {
    let quiesced = set(&DesiredState::default(), Change::Quiesce);
    assert_eq!(quiesced.quiesced_at, Some(NOW.0));
    assert_eq!(
        quiesced.on_change(NOW, &Change::Quiesce, is_listed),
        Ok(Verdict::Unchanged(Reason::AlreadyQuiesced))
    );
    let back = set(&quiesced, Change::Resume);
    assert_eq!(back.quiesced_at, None);
    assert_eq!(
        back.on_change(NOW, &Change::Resume, is_listed),
        Ok(Verdict::Unchanged(Reason::NotQuiesced))
    );
    // A process that starts beside another process of the broker stays quiesced; a process that
    // starts alone serves clients.
    assert_eq!(quiesced.clone().on_start(true).quiesced_at, Some(NOW.0));
    assert_eq!(quiesced.on_start(false).quiesced_at, None);
}

#[test]
fn uncordoned_server_is_forgotten_after_its_retention() {
    let back = set(&set(&DesiredState::default(), cordon("a")), uncordon("a"));
    let later = NOW.plus(UNCORDONED_RETENTION);
    assert_matches!(
        back.on_change(later, &cordon("b"), is_listed),
        Ok(Verdict::Changed(DesiredState { uncordoned, .. }, _)) if uncordoned.is_empty()
    );
}

#[test]
fn stored_state_is_decoded_by_its_owner_until_it_expires() {
    let state = set(&set(&DesiredState::default(), cordon("a")), Change::Quiesce);
    let stored = state.encode("n0", NOW);
    assert_eq!(DesiredState::decode(&stored, "n0", NOW), Ok(state.clone()));
    assert_eq!(
        DesiredState::decode(&stored, "n1", NOW),
        Err(DecodeError::Owner("n0".into()))
    );
    assert_eq!(
        DesiredState::decode(&stored, "n0", NOW.plus(MAX_AGE)),
        Err(DecodeError::Expired(86_400))
    );
    assert_eq!(
        DesiredState::decode(&stored, "n0", NOW.plus(MAX_AGE - 1)),
        Ok(state)
    );
}

#[test]
fn truncated_or_changed_state_is_rejected() {
    let state = set(&DesiredState::default(), cordon("a"));
    let stored = state.encode("n0", NOW);
    for length in 0..stored.len() {
        assert!(
            DesiredState::decode(&stored[..length], "n0", NOW).is_err(),
            "{length}"
        );
    }
    for at in 0..stored.len() {
        let mut changed = stored.clone();
        changed[at] ^= 1;
        // Only the hexadecimal digits of the checksum may differ in case and still be valid.
        assert!(
            DesiredState::decode(&changed, "n0", NOW).map_or(true, |read| read == state),
            "{at}"
        );
    }
    assert_eq!(
        DesiredState::decode(b"#!/bin/sh\n", "n0", NOW),
        Err(DecodeError::Format)
    );
    assert_eq!(
        DesiredState::decode(b"lichenswitch wanted 2\n00\n{}\n", "n0", NOW),
        Err(DecodeError::Format)
    );
}

#[test]
fn cordoned_servers_are_bounded() {
    let cordoned = (0..MAX_CORDONED).map(|i| (i.to_string(), 0)).collect();
    let full = DesiredState {
        cordoned,
        ..DesiredState::default()
    };
    assert_eq!(
        full.on_change(NOW, &cordon("a"), is_listed),
        Err(ChangeError::TooMany)
    );
}

#[test]
fn cordoned_server_is_a_last_resort_for_a_share_of_the_allowed_time() {
    let out = |ms: u64| is_out_of_service(NOW, NOW.plus(ms * 1_000), 2_000_000);
    assert_eq!(
        [out(0), out(1_199), out(1_200), out(60_000)],
        [false, false, true, true]
    );
    assert!(
        is_out_of_service(NOW, NOW, 0),
        "where the rule allows no time there is none"
    );
}
