//! What a call has changed in the table of servers, to be pushed.

use lichenswitch_messages::ServerRecord;

/// What has changed in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed records. Routers get all of them; other control machines those of
    /// [`Changes::updates_for_peers`], which come first.
    pub records: Vec<ServerRecord>,
    /// Instances whose records were dropped. They are not gone: no heartbeat came for long, and may
    /// come again.
    pub expired: Vec<String>,
    /// How many of the first records have a merged change; of the others only `is_suspect` has
    /// changed.
    replicated_count: usize,
}

impl Changes {
    /// Whether nothing has changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.expired.is_empty()
    }

    /// The records to send to other control machines, each of which judges by itself which servers
    /// are suspect.
    #[must_use]
    pub fn updates_for_peers(&self) -> &[ServerRecord] {
        &self.records[..self.replicated_count]
    }

    /// Adds a record for routers and other control machines.
    pub(crate) fn push_replicated(&mut self, record: &ServerRecord) {
        self.records.insert(self.replicated_count, record.clone());
        self.replicated_count += 1;
    }

    /// Adds a record for routers alone.
    pub(crate) fn push_local(&mut self, record: &ServerRecord) {
        self.records.push(record.clone());
    }

    /// Appends others, in their order.
    pub fn append(&mut self, others: Changes) {
        let (replicated, local) = others.records.split_at(others.replicated_count);
        replicated
            .iter()
            .for_each(|record| self.push_replicated(record));
        local.iter().for_each(|record| self.push_local(record));
        self.expired.extend(others.expired);
    }
}
