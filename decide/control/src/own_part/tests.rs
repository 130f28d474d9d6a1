use super::*;

const SECOND: u64 = 1_000_000;

fn at(seconds: u64) -> Time {
    Time(seconds * SECOND)
}

fn votes(durable_voters: usize) -> View {
    View {
        takes_part: true,
        has_left: false,
        durable_voters,
    }
}

const OUTSIDE: View = View {
    takes_part: false,
    has_left: false,
    durable_voters: 0,
};

#[test]
fn a_machine_with_a_disk_takes_part_at_once_and_stays() {
    let mut part = OwnPart::new(Eligibility::Durable, at(1), 1);
    assert_eq!(part.look(at(1), OUTSIDE), Some(Change::TakePart));
    assert_eq!(part.look(at(100), votes(4)), None);
}

#[test]
fn one_without_takes_part_only_where_nobody_with_one_is_met_for_three_seconds() {
    let mut part = OwnPart::new(Eligibility::StandIn, at(1), 1);
    assert_eq!(part.look(at(4), OUTSIDE), None);
    assert_eq!(
        part.look(Time(4 * SECOND + 1), OUTSIDE),
        Some(Change::TakePart)
    );
    part.on_durable_peer(false);
    assert_eq!(
        (part.look(at(100), OUTSIDE), part.eligibility()),
        (None, Eligibility::Relay)
    );
}

#[test]
fn one_without_leaves_once_as_many_with_a_disk_vote_as_bear_the_losses() {
    for (tolerated, enough) in [(1, 3), (2, 5)] {
        let mut part = OwnPart::new(Eligibility::StandIn, at(1), tolerated);
        part.on_durable_peer(true);
        assert_eq!(
            part.look(at(2), votes(0)),
            None,
            "it founded: it holds the state"
        );
        assert_eq!(part.look(at(2), votes(enough - 1)), None);
        assert_eq!(part.look(at(2), votes(enough)), Some(Change::Leave));
        let left = View {
            has_left: true,
            ..votes(enough)
        };
        assert_eq!(part.look(at(3), left), Some(Change::Relay));
        assert_eq!(
            (part.look(at(9), OUTSIDE), part.eligibility()),
            (None, Eligibility::Relay)
        );
    }
}

#[test]
fn one_without_leaves_fewer_behind_once_they_have_waited_for_others() {
    let mut part = OwnPart::new(Eligibility::StandIn, at(1), 2);
    assert_eq!(
        (part.look(at(2), votes(1)), part.next_wake()),
        (None, Some(at(7)))
    );
    assert_eq!(part.look(at(6), votes(1)), None);
    assert_eq!(part.look(at(7), votes(1)), Some(Change::Leave));
    // The one that was there is gone before it left: it holds the state alone again.
    assert_eq!(part.look(at(8), votes(0)), None);
    assert_eq!(part.look(at(9), votes(2)), None);
}
