//! Changes of the table of servers, to be pushed to routers and other control machines.

use lichenswitch_messages::ServerRecord;

/// Changes that one or more operations made to the table of servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed records. All of them are sent to routers. The first ones, which
    /// [`Changes::updates_for_peers`] returns, are also sent to other control machines.
    pub records: Vec<ServerRecord>,
    /// Instances whose records were dropped because no heartbeat came for
    /// [`EXPIRY_AFTER_US`](crate::EXPIRY_AFTER_US). They are not gone: a later heartbeat adds them
    /// again.
    pub expired: Vec<String>,
    /// Number of records, at the start of `records`, that are also sent to other control machines.
    /// The others concern only this machine: `is_suspect` has changed, or the record was restored
    /// from the stored table.
    replicated_count: usize,
}

impl Changes {
    /// Returns whether there is neither a changed nor a dropped record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.expired.is_empty()
    }

    /// Returns the records to send to other control machines. Changes of `is_suspect` alone are not
    /// sent, because each control machine decides by itself which servers are suspect.
    #[must_use]
    pub fn updates_for_peers(&self) -> &[ServerRecord] {
        &self.records[..self.replicated_count]
    }

    /// Adds a record to send to routers and other control machines.
    pub(crate) fn push_replicated(&mut self, record: &ServerRecord) {
        self.records.insert(self.replicated_count, record.clone());
        self.replicated_count += 1;
    }

    /// Adds a record to send only to routers.
    pub(crate) fn push_local(&mut self, record: &ServerRecord) {
        self.records.push(record.clone());
    }

    /// Appends later changes and keeps their order.
    pub fn append(&mut self, others: Changes) {
        let (replicated, local) = others.records.split_at(others.replicated_count);
        replicated
            .iter()
            .for_each(|record| self.push_replicated(record));
        local.iter().for_each(|record| self.push_local(record));
        self.expired.extend(others.expired);
    }
}
