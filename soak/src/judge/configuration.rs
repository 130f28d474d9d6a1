//! Orders of operators and reads of the configuration that contradict each other.

use crate::bounds::CONFIG_APPLY;
use crate::journal::{Journal, OrderRecord, ReadRecord};
use crate::violation::Violation;
use lichenswitch_emulators::operator::{judge as judge_responses, Entry, Outcome};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// Orders whose outcomes contradict each other or the configurations that were read.
pub(super) fn wrong_orders(journal: &Journal) -> Vec<Violation> {
    let mut violations: Vec<Violation> = judge_responses(&clear_responses(journal))
        .into_iter()
        .map(Violation::Orders)
        .collect();
    let read_orders: BTreeSet<u64> = journal
        .reads
        .iter()
        .chain(&journal.final_reads)
        .map(|read| read.order)
        .collect();
    violations.extend(
        journal
            .orders
            .iter()
            .filter(|record| is_rejected(record) && read_orders.contains(&record.number))
            .map(|record| Violation::RejectedInForce(record.number)),
    );
    violations.extend(conflicting_orders(journal, &read_orders));
    violations
}

/// The clear responses to each order, as an operator's ledger lists them. The machine that
/// responded is not judged.
fn clear_responses(journal: &Journal) -> Vec<Entry> {
    let any_machine = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let of_order = |record: &OrderRecord| {
        record
            .outcomes
            .iter()
            .filter(|outcome| **outcome != Outcome::Unclear)
            .map(|outcome| Entry::Responded(record.order.clone(), any_machine, *outcome))
            .collect::<Vec<_>>()
    };
    journal.orders.iter().flat_map(of_order).collect()
}

fn is_rejected(record: &OrderRecord) -> bool {
    record
        .outcomes
        .iter()
        .any(|outcome| matches!(outcome, Outcome::OtherVersion | Outcome::Refused(_)))
}

/// Orders that must have been in force, and share their base with another such.
fn conflicting_orders(journal: &Journal, read_orders: &BTreeSet<u64>) -> Vec<Violation> {
    let mut first_on_base: BTreeMap<u64, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in &journal.orders {
        if record.acknowledged.is_none() && !read_orders.contains(&record.number) {
            continue;
        }
        let base = record.order.base;
        let first = *first_on_base.entry(base).or_insert(record.number);
        if first != record.number {
            violations.push(Violation::ConflictingOrders(base, first, record.number));
        }
    }
    violations
}

/// Reads during the day of a version older than one acknowledged longer than `configApplyMs`
/// before.
pub(super) fn stale_reads(journal: &Journal) -> Vec<Violation> {
    let stale = |read: &ReadRecord| {
        let known = journal
            .orders
            .iter()
            .filter(|record| {
                record
                    .acknowledged
                    .is_some_and(|at| at + CONFIG_APPLY < read.sent)
            })
            .map(|record| record.version)
            .max()?;
        (read.version < known).then_some(Violation::StaleRead {
            machine: read.machine,
            sent: read.sent,
            reported: read.version,
            known,
        })
    };
    journal.reads.iter().filter_map(stale).collect()
}

/// Reads at the end of the day that lack what was acknowledged before.
pub(super) fn lost_configurations(journal: &Journal) -> Vec<Violation> {
    let lost = |read: &ReadRecord| {
        let newest = journal
            .orders
            .iter()
            .filter(|record| record.acknowledged.is_some_and(|at| at < read.sent))
            .max_by_key(|record| record.version)?;
        let is_older = read.version < newest.version;
        let is_other = read.version == newest.version && read.order != newest.number;
        (is_older || is_other).then_some(Violation::ConfigurationLost {
            machine: read.machine,
            reported: read.version,
            known: newest.version,
            order: newest.number,
        })
    };
    journal.final_reads.iter().filter_map(lost).collect()
}
