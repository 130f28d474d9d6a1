use super::*;

#[test]
fn a_voter_that_is_behind_is_not_in_contact_by_the_word_that_relays_are_told() {
    assert!(!is_told_of_contact(Some(false), true));
    assert!(is_told_of_contact(Some(true), false));
}

#[test]
fn a_machine_without_a_vote_is_in_contact_by_that_word() {
    assert!(is_told_of_contact(None, true));
    assert!(!is_told_of_contact(None, false));
}
