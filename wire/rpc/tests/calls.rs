//! An answer goes to the call of its number, once.

use std::collections::BTreeMap;

use lichenswitch_rpc::Calls;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[test]
fn an_answer_ends_its_call_once_and_another_number_is_nobodys() {
    let mut calls = Calls::new(100);
    let (first, second) = (calls.begin(0, 10, "first"), calls.begin(1, 10, "second"));
    assert_eq!((first, second), (100, 101));
    assert_eq!(calls.finish(99), None);
    assert_eq!(calls.finish(102), None);
    assert_eq!(calls.finish(second), Some("second"));
    assert_eq!(calls.finish(second), None);
    assert_eq!(
        (calls.len(), calls.oldest(), calls.next_deadline()),
        (1, Some(0), Some(10))
    );
}

#[test]
fn an_answer_that_comes_after_its_deadline_is_nobodys() {
    let mut calls = Calls::new(0);
    let late = calls.begin(0, 10, 'a');
    calls.begin(0, 20, 'c');
    calls.begin(0, 9, 'b');
    assert!(calls.expire(8).is_empty());
    assert_eq!(calls.expire(10), ['b', 'a']);
    assert_eq!(calls.finish(late), None);
    assert_eq!(calls.finish_all(), ['c']);
    assert!(calls.is_empty() && calls.next_deadline().is_none() && calls.oldest().is_none());
}

#[test]
fn numbers_go_on_past_the_highest() {
    let mut calls = Calls::new(u64::MAX);
    assert_eq!(
        (calls.begin(0, 1, 'a'), calls.begin(0, 1, 'b')),
        (u64::MAX, 0)
    );
}

#[derive(Clone, Debug)]
enum Step {
    Begin { lasts: u8 },
    Finish { back: u8 },
    Expire { later: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let by = u8::arbitrary(g) % 8;
        match u8::arbitrary(g) % 3 {
            0 => Step::Begin { lasts: by },
            1 => Step::Finish { back: by },
            _ => Step::Expire { later: by },
        }
    }
}

#[test]
fn the_table_does_as_a_plain_map_does() {
    fn holds(first: u64, steps: Vec<Step>) -> bool {
        let (mut calls, mut plain, mut now) = (Calls::new(first), BTreeMap::new(), 0_u64);
        let mut begun = 0_u64;
        steps.into_iter().all(|step| match step {
            Step::Begin { lasts } => {
                let id = calls.begin(now, now + u64::from(lasts), begun);
                plain.insert(begun, now + u64::from(lasts));
                begun += 1;
                id == first.wrapping_add(begun - 1)
            }
            Step::Finish { back } => {
                let which = begun.wrapping_sub(u64::from(back));
                let expected = plain.remove(&which).map(|_| which);
                calls.finish(first.wrapping_add(which)) == expected
            }
            Step::Expire { later } => {
                now += u64::from(later);
                let mut expected: Vec<_> = plain.iter().map(|(id, at)| (*at, *id)).collect();
                expected.retain(|(at, _)| *at <= now);
                plain.retain(|_, at| *at > now);
                // By deadline, and among equals by number.
                expected.sort_unstable_by_key(|(at, id)| (*at, first.wrapping_add(*id)));
                let ids: Vec<_> = expected.into_iter().map(|(_, id)| id).collect();
                calls.expire(now) == ids && calls.len() == plain.len()
            }
        })
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(holds as fn(u64, Vec<Step>) -> bool);
}
