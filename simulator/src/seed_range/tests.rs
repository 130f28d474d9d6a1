use super::{SeedRange, SeedRangeError};

#[test]
fn two_numbers_are_the_first_seed_and_the_one_beyond() {
    let seeds: SeedRange = "3..7".parse().unwrap();
    assert_eq!(seeds.seeds().collect::<Vec<_>>(), [3, 4, 5, 6]);
    assert_eq!(seeds.len(), 4);
}

#[test]
fn range_that_ends_before_it_begins_is_empty() {
    let seeds: SeedRange = "7..3".parse().unwrap();
    assert_eq!(seeds.len(), 0);
}

#[test]
fn text_without_separator_is_rejected() {
    let error = "7".parse::<SeedRange>().unwrap_err();
    assert_eq!(error, SeedRangeError::NoSeparator);
    assert_eq!(error.to_string(), "a range is FIRST..BEYOND");
}

#[test]
fn error_names_the_text_that_is_no_number() {
    let error = "1..x".parse::<SeedRange>().unwrap_err();
    assert_eq!(error.to_string(), "`x`: invalid digit found in string");
}
