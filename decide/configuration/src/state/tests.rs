//! Tests of the replicated state and its encoding.

use super::*;
use crate::evaluation::{evaluate, OrderOutcome};
use crate::order::{Order, REPLACE_PATH, UPDATE_PATH};
use assert_matches::assert_matches;
use quickcheck::{Gen, QuickCheck};

/// Seed of the random tests, fixed so that failures are reproducible.
const SEED: u64 = 0x5eed_0003;

fn order(path: &str, base_version: u64, body: String) -> Order {
    Order {
        path: path.to_owned(),
        base_version,
        body: body.into_bytes(),
    }
}

fn first() -> Order {
    let body = r#"{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","service":"s","own":1.50}],"services":[{"name":"s"}]}"#;
    order(REPLACE_PATH, 0, body.to_owned())
}

/// Returns an update of one service, on top of this version.
fn next(version: u64) -> Order {
    let body = format!(
        "{{\"version\":{},\"upserts\":{{\"services\":[{{\"name\":\"s\",\"maxConnections\":{version}}}]}}}}",
        version + 1
    );
    order(UPDATE_PATH, version, body)
}

fn change(state: &State, order: &Order) -> Vec<u8> {
    match evaluate(state, order) {
        OrderOutcome::Change(change) => change,
        other => panic!("the order has no change: {other:?}"),
    }
}

/// Returns the state after this number of orders, with their changes.
fn after(orders: u64) -> (State, Vec<Vec<u8>>) {
    let (mut state, mut changes) = (State::default(), Vec::new());
    for version in 0..orders {
        let order = if version == 0 { first() } else { next(version) };
        let change = change(&state, &order);
        state.apply(&change).expect("an evaluated change is valid");
        changes.push(change);
    }
    (state, changes)
}

#[test]
fn empty_state_is_unchanged_by_encoding_and_decoding() {
    let state = State::default();
    assert_eq!(State::decode(&state.encode()), Ok(state));
}

#[test]
fn configuration_and_history_are_unchanged_by_encoding_and_decoding() {
    let (state, _) = after(40);
    let decoded = State::decode(&state.encode()).expect("a state");
    assert_eq!(decoded, state);
    assert_eq!((decoded.version(), decoded.history_len()), (40, 40));
    for version in 0..40 {
        let order = if version == 0 { first() } else { next(version) };
        assert_eq!(
            evaluate(&decoded, &order),
            OrderOutcome::AlreadyApplied,
            "{version}"
        );
    }
    assert_eq!(decoded.encode(), state.encode());
}

#[test]
fn same_changes_result_in_the_same_bytes_from_any_snapshot() {
    let (state, changes) = after(30);
    let mut other = State::default();
    for (count, change) in changes.iter().enumerate() {
        if count % 7 == 3 {
            other = State::decode(&other.encode()).expect("a state");
        }
        other.apply(change).expect("it applied before");
    }
    assert_eq!(other.encode(), state.encode());
    let text = other.document().expect("there").to_json();
    assert!(String::from_utf8(text)
        .expect("UTF-8")
        .contains("\"own\":1.50"));
}

#[test]
fn change_of_update_contains_only_the_update() {
    let (state, _) = after(1);
    let order = next(1);
    assert_eq!(change(&state, &order).len(), 10 + order.body.len());
}

#[test]
fn history_is_bounded_and_drops_the_oldest() {
    let digest = |n: usize| OrderDigest::of("", n as u64, b"");
    let mut state = State::default();
    (0..MAX_HISTORY + 10).for_each(|n| state.record(digest(n)));
    assert_eq!(state.history_len(), MAX_HISTORY);
    assert!(!state.has_applied(&digest(0)) && !state.has_applied(&digest(9)));
    assert!(state.has_applied(&digest(10)) && state.has_applied(&digest(MAX_HISTORY + 9)));
    let decoded = State::decode(&state.encode()).expect("a state");
    assert_eq!(decoded.history, state.history);
}

#[test]
fn invalid_change_leaves_the_state_unchanged() {
    let (mut state, changes) = after(3);
    let before = state.clone();
    assert_eq!(
        state.apply(&changes[2]),
        Err(StateError::VersionMismatch {
            base: 2,
            current: 3
        })
    );
    assert_eq!(state.apply(&[]), Err(StateError::Truncated));
    assert_eq!(state.apply(&[9]), Err(StateError::UnknownFormat(9)));
    assert_eq!(state.apply(&[1, 7]), Err(StateError::UnknownKind(7)));
    assert_eq!(state.apply(&[1, 1, 0]), Err(StateError::Truncated));
    let bad = State::change(
        OrderKind::Update,
        3,
        b"{\"version\":4,\"removals\":{\"services\":[\"s\"]}}",
    );
    assert_matches!(
        state.apply(&bad),
        Err(StateError::InvalidConfiguration(
            ConfigurationError::UnknownService { .. }
        ))
    );
    assert_eq!(state, before);
}

#[test]
fn invalid_bytes_have_distinct_errors() {
    let (state, _) = after(3);
    let bytes = state.encode();
    for length in 0..bytes.len() {
        assert_eq!(
            State::decode(&bytes[..length]),
            Err(StateError::Truncated),
            "{length}"
        );
    }
    let longer = [&bytes[..], &[0, 0]].concat();
    assert_eq!(State::decode(&longer), Err(StateError::TrailingBytes(2)));
    let mut other = bytes.clone();
    other[0] = 2;
    assert_eq!(State::decode(&other), Err(StateError::UnknownFormat(2)));
    let mut many = vec![1, 0, 0, 0, 0];
    many.extend_from_slice(&(MAX_HISTORY as u32 + 1).to_le_bytes());
    assert_eq!(
        State::decode(&many),
        Err(StateError::HistoryTooLong(MAX_HISTORY + 1))
    );
    let torn = [&[1, 1, 0, 0, 0][..], b"{", &[0, 0, 0, 0]].concat();
    assert_eq!(
        State::decode(&torn),
        Err(StateError::InvalidConfiguration(
            ConfigurationError::Unreadable
        ))
    );
}

#[test]
fn arbitrary_bytes_never_panic() {
    fn property(bytes: Vec<u8>, edits: Vec<(u16, u8)>) -> bool {
        let (mut state, changes) = after(2);
        let (mut encoded, mut change) = (state.encode(), changes[1].clone());
        for (index, byte) in edits {
            let (state_index, change_index) = (
                usize::from(index) % encoded.len(),
                usize::from(index) % change.len(),
            );
            (encoded[state_index], change[change_index]) = (byte, byte);
        }
        let decoded = State::decode(&encoded);
        let applied = state.apply(&change).is_ok();
        let is_preserved = decoded.is_err()
            || decoded.is_ok_and(|state| State::decode(&state.encode()) == Ok(state));
        is_preserved && !applied && State::decode(&bytes).is_err() | (bytes.first() == Some(&1))
    }
    let gen = Gen::from_size_and_seed(12, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(3_000)
        .quickcheck(property as fn(Vec<u8>, Vec<(u16, u8)>) -> bool);
}
