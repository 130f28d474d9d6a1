//! Tests of `consensus`.

use super::*;

const TERMS: Terms = Terms {
    lease: 1_000_000,
    drift: 20_000,
};
const START: Time = Time(50_000_000);

/// Consensus of four brokers in virtual time; messages arrive at once.
struct Table {
    brokers: Vec<Consensus>,
    now: Time,
}

impl Table {
    /// Three voters without folders and one reader; all would like to hold the duty.
    fn new() -> Table {
        let voters: Vec<String> = (0..3).map(|i| format!("n{i}")).collect();
        let rules = Rules {
            voters,
            folder: None,
            duties: vec!["d".into()],
            terms: TERMS,
        };
        let own = |i: u64| Holder {
            name: format!("n{i}"),
            life: 7 + i,
        };
        let broker = |i| Consensus::new(START, "c", own(i), rules.clone()).unwrap();
        Table {
            brokers: (0..4).map(broker).collect(),
            now: START,
        }
    }

    fn deliver(&mut self, from: usize, messages: OutgoingMessages) {
        let mut waiting: Vec<(usize, String, Vec<u8>)> = messages
            .into_iter()
            .map(|(to, bytes)| (from, to, bytes))
            .collect();
        while let Some((from, to, bytes)) = waiting.pop() {
            let to: usize = to[1..].parse().unwrap();
            let answers = self.brokers[to].on_word(self.now, &format!("n{from}"), &bytes);
            waiting.extend(answers.into_iter().map(|(next, bytes)| (to, next, bytes)));
        }
    }

    fn holders(&self) -> Vec<usize> {
        let duty = Duty("d".into());
        (0..4)
            .filter(|i| self.brokers[*i].may_act(self.now, &duty).is_some())
            .collect()
    }

    /// Goes on until somebody holds the duty, for so long at most; tells who.
    fn until_held(&mut self, most: Micros) -> Option<usize> {
        let end = self.now.plus(most);
        while self.now < end {
            self.now = self.now.plus(5_000);
            for i in 0..4 {
                if self.brokers[i].next() <= self.now {
                    let messages = self.brokers[i].on_time(self.now);
                    self.deliver(i, messages);
                }
            }
            let holders = self.holders();
            assert!(holders.len() < 2, "{holders:?} hold it at a time");
            if let Some(holder) = holders.first() {
                return Some(*holder);
            }
        }
        None
    }
}

#[test]
fn voters_that_know_of_no_grant_grant_none_before_a_lease_is_over_and_one_that_is_given_back_at_once(
) {
    let mut table = Table::new();
    let holder = table.until_held(10_000_000).unwrap();
    assert!(
        table.now.since(START) >= TERMS.awaited(),
        "somebody may hold it by a genesis that is forgotten"
    );
    let (other, duty) = ((holder + 1) % 4, Duty("d".into()));
    let fence = table.brokers[holder].may_act(table.now, &duty).unwrap();
    let back = postcard::to_stdvec(&Message::GiveBack(duty, fence)).unwrap();
    table.deliver(
        other,
        (0..3).map(|v| (format!("n{v}"), back.clone())).collect(),
    );
    assert_eq!(
        table.until_held(5_000),
        Some(holder),
        "only the holder gives it back"
    );
    assert!((0..3).all(|v| match &table.brokers[v].voter_role {
        VoterRole::Votes(voter) => voter.grants().holder(&Duty("d".into())).is_some(),
        _ => false,
    }));
    let messages = table.brokers[holder].on_stop(table.now);
    table.deliver(holder, messages);
    assert!(
        table.holders().is_empty(),
        "nothing is done under it from here on"
    );
    let stopped = table.now;
    let next = table.until_held(10_000_000).unwrap();
    assert!(
        next != holder && table.now.since(stopped) < TERMS.lease,
        "nobody waits for the end of its lease"
    );
}

#[test]
fn one_that_was_told_nothing_new_by_a_voter_keeps_what_it_holds_and_a_stranger_asks_for_nothing() {
    let mut table = Table::new();
    let holder = table.until_held(10_000_000).unwrap();
    let now = table.now;
    let broker = &mut table.brokers[holder];
    let elsewhere = postcard::to_stdvec(&Message::Elsewhere(Duty("d".into()))).unwrap();
    broker.on_word(now, "n1", &elsewhere);
    assert!(
        broker.may_act(now, &Duty("d".into())).is_some(),
        "that voter may have been away"
    );
    // Another genesis than the one it has known: its lease runs out, and it asks for none.
    let other = postcard::to_stdvec(&Message::Heard(1, 99)).unwrap();
    broker.on_word(now, "n1", &other);
    assert_eq!(broker.standing(now), Standing::Stranger);
    let mut asked = 0;
    for i in 1..400u64 {
        let at = now.plus(i * 5_000);
        for (_, bytes) in broker.on_time(at) {
            asked += usize::from(matches!(postcard::from_bytes(&bytes), Ok(Message::Ask(..))));
        }
    }
    let log = broker.take_log().join("\n");
    assert!(
        log.contains("standing: a stranger: ")
            && log.contains("duty d: not held: the lease ran out"),
        "{log}"
    );
    assert_eq!(asked, 0);
}

#[test]
fn garbage_changes_nothing() {
    let mut table = Table::new();
    crate::testing::garbage(&[&[1, 2, 3, 4, 5, 6, 7, 8]], |bytes| {
        table.brokers[0].on_word(START, "n1", bytes);
    });
    assert!(table.until_held(10_000_000).is_some());
}
