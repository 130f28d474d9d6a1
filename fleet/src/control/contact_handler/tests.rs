use super::*;

#[test]
fn lagging_voter_is_not_in_contact_by_primary_confirmation() {
    assert!(!has_contact(Some(false), true));
    assert!(has_contact(Some(true), false));
}

#[test]
fn relay_is_in_contact_by_primary_confirmation() {
    assert!(has_contact(None, true));
    assert!(!has_contact(None, false));
}
