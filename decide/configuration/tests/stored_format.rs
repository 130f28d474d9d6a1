//! Tests that the replicated and stored form of the configuration stays the same, byte for byte.
//!
//! `fixtures/stored_format.hex` was written by the program of commit 6f1ee4c. Each line has a name
//! and bytes in hexadecimal digits. Control machines of different builds must store the same state
//! and recognise a repeated order by the same digest.

use lichenswitch_configuration::{
    evaluate, Order, OrderDigest, OrderOutcome, State, REPLACE_PATH, UPDATE_PATH,
};

use lichenswitch_testing::fixtures::named_lines;

const FIXTURE: &str = include_str!("fixtures/stored_format.hex");

/// A configuration with unknown fields, numbers in unusual notation, and API keys. The tenants of
/// both bodies together use both units.
const FIRST: &str = concat!(
    r#"{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","service":"s","own":1.50}],"#,
    r#""services":[{"name":"s","engine":{"capacitySlots":8}}],"#,
    r#""tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":2,"unit":"token_count","#,
    r#""ratePerS":1e3,"burstSize":50,"uncachedTokens":9}],"limits":{"maxHeaderBytes":1024},"z":[1]}"#
);

const SECOND: &str = concat!(
    r#"{"version":9,"upserts":{"tenants":[{"name":"u","ratePerS":2.5}],"services":[{"name":"s2"}]},"#,
    r#""removals":{"tenants":["t"]}}"#
);

fn orders() -> [Order; 2] {
    let order = |path: &str, base_version, body: &str| Order {
        path: path.to_owned(),
        base_version,
        body: body.as_bytes().to_vec(),
    };
    [order(REPLACE_PATH, 0, FIRST), order(UPDATE_PATH, 7, SECOND)]
}

/// Returns the stored form of each order and of the state after it.
fn stored() -> Vec<(&'static str, Vec<u8>)> {
    let [first, second] = orders();
    let mut state = State::default();
    let empty = state.encode();
    let first_change = apply(&mut state, &first);
    let after_first = state.encode();
    let second_change = apply(&mut state, &second);
    vec![
        ("empty_state", empty),
        ("digest_of_first_order", first.digest().0.to_vec()),
        ("change_of_first_order", first_change),
        ("state_after_first_order", after_first),
        ("digest_of_second_order", second.digest().0.to_vec()),
        ("change_of_second_order", second_change),
        ("state_after_second_order", state.encode()),
        (
            "digest_of_empty_order",
            OrderDigest::of("", 0, b"").0.to_vec(),
        ),
    ]
}

fn apply(state: &mut State, order: &Order) -> Vec<u8> {
    let OrderOutcome::Change(change) = evaluate(state, order) else {
        panic!("the order was not accepted");
    };
    state.apply(&change).expect("a valid change");
    change
}

/// Returns the lines of the fixture: names with bytes.
fn fixture() -> Vec<(&'static str, Vec<u8>)> {
    named_lines(FIXTURE)
}

fn bytes_of(name: &str) -> Vec<u8> {
    let line = fixture().into_iter().find(|(line, _)| *line == name);
    line.expect("a line of the fixture").1
}

#[test]
fn orders_are_stored_as_the_bytes_of_the_fixture() {
    assert_eq!(stored(), fixture());
}

#[test]
fn stored_states_are_read_and_written_again_unchanged() {
    for name in [
        "empty_state",
        "state_after_first_order",
        "state_after_second_order",
    ] {
        let bytes = bytes_of(name);
        let state = State::decode(&bytes).expect("a state");
        assert_eq!(state.encode(), bytes, "{name}");
    }
}

#[test]
fn stored_changes_lead_to_the_stored_states() {
    let mut state = State::decode(&bytes_of("empty_state")).expect("a state");
    for (change, after, version) in [
        ("change_of_first_order", "state_after_first_order", 7),
        ("change_of_second_order", "state_after_second_order", 9),
    ] {
        state.apply(&bytes_of(change)).expect("a valid change");
        assert_eq!(state, State::decode(&bytes_of(after)).expect("a state"));
        assert_eq!(state.version(), version);
    }
}
