//! A response ends the call of its number, once.

use std::collections::BTreeMap;

use lichenswitch_rpc::PendingCalls;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[test]
fn response_ends_its_call_once_and_unknown_number_ends_none() {
    let mut calls = PendingCalls::new(100);
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
fn response_after_deadline_ends_no_call() {
    let mut calls = PendingCalls::new(0);
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
fn numbers_wrap_around() {
    let mut calls = PendingCalls::new(u64::MAX);
    assert_eq!(
        (calls.begin(0, 1, 'a'), calls.begin(0, 1, 'b')),
        (u64::MAX, 0)
    );
}

#[derive(Clone, Debug)]
enum Step {
    Begin { timeout: u8 },
    Finish { age: u8 },
    Expire { elapsed: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let by = u8::arbitrary(g) % 8;
        match u8::arbitrary(g) % 3 {
            0 => Step::Begin { timeout: by },
            1 => Step::Finish { age: by },
            _ => Step::Expire { elapsed: by },
        }
    }
}

#[test]
fn pending_calls_agree_with_a_plain_map() {
    fn property(first: u64, steps: Vec<Step>) -> bool {
        let (mut calls, mut model, mut now) = (PendingCalls::new(first), BTreeMap::new(), 0_u64);
        let mut begun_count = 0_u64;
        steps.into_iter().all(|step| match step {
            Step::Begin { timeout } => {
                let id = calls.begin(now, now + u64::from(timeout), begun_count);
                model.insert(begun_count, now + u64::from(timeout));
                begun_count += 1;
                id == first.wrapping_add(begun_count - 1)
            }
            Step::Finish { age } => {
                let index = begun_count.wrapping_sub(u64::from(age));
                let expected = model.remove(&index).map(|_| index);
                calls.finish(first.wrapping_add(index)) == expected
            }
            Step::Expire { elapsed } => {
                now += u64::from(elapsed);
                let mut expected: Vec<_> = model.iter().map(|(id, at)| (*at, *id)).collect();
                expected.retain(|(at, _)| *at <= now);
                model.retain(|_, at| *at > now);
                // By deadline, and at equal deadlines by number.
                expected.sort_unstable_by_key(|(at, id)| (*at, first.wrapping_add(*id)));
                let ids: Vec<_> = expected.into_iter().map(|(_, id)| id).collect();
                calls.expire(now) == ids && calls.len() == model.len()
            }
        })
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(u64, Vec<Step>) -> bool);
}
