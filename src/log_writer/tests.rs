//! Tests of `log_writer`.

use super::*;

#[test]
fn lines_that_were_lost_are_told_in_words() {
    assert_eq!(
        lost_line(3),
        "lichenswitch: 3 lines were lost: nobody read them in time\n"
    );
}
