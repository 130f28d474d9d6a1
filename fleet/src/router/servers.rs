//! The table of model servers, merged from the records that control machines push.
//!
//! It promises that the merge is a join: in whatever order records come, and from whichever control
//! machine, the result is the same; `draining` and `gone` are final; an instance that a push leaves
//! out stays as it was.

use super::prompt::stable_hash;
use lichenswitch_interface::{ListedServer, ServerId, ServerMode};
use lichenswitch_messages::{ServerRecord, ServerState};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// How many instances that are gone are remembered, so that no late record revives one. Control
/// forgets them after a minute; this many are the restarts of the largest fleet in ten minutes.
const MAX_REMEMBERED_GONE: usize = 2_048;
/// Groups that the servers of a service are divided into. After a failed connection the decision
/// module retries at once only while it has tried fewer servers than there are groups.
pub(crate) const SERVER_GROUPS: u32 = 4;

/// One instance of a model server.
#[derive(Debug)]
struct Instance {
    server: ServerId,
    service: Rc<str>,
    address: Option<SocketAddr>,
    zone: u32,
    state: ServerState,
    sequence_number: u64,
    is_suspect: bool,
}

/// Where a server is reached, and its instance id.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    /// Its `instanceId`.
    pub instance_id: Rc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// It accepts no new requests.
    pub is_leaving: bool,
}

/// A change of a service's list of servers.
#[derive(Debug, PartialEq)]
pub(crate) struct ServerChange {
    /// Name of the service.
    pub service: Rc<str>,
    /// The changed entry.
    pub entry: ListedServer,
}

impl ServerChange {
    /// Whether the server accepts no new requests.
    #[must_use]
    pub(crate) fn accepts_no_requests(&self) -> bool {
        matches!(self.entry.mode, ServerMode::Draining | ServerMode::Gone)
    }
}

/// The table of instances.
#[derive(Default)]
pub(crate) struct ServerTable {
    instances: HashMap<Rc<str>, Instance>,
    by_server: HashMap<ServerId, Rc<str>>,
    services: HashMap<Rc<str>, ()>,
    zones: HashMap<String, u32>,
    gone: VecDeque<Rc<str>>,
}

impl ServerTable {
    /// An empty table of a router in this zone, which gets the number 0.
    #[must_use]
    pub(crate) fn new(zone: &str) -> ServerTable {
        ServerTable {
            zones: HashMap::from([(zone.to_owned(), 0)]),
            ..ServerTable::default()
        }
    }

    /// Merges records; returns the entries that changed.
    pub(crate) fn merge(&mut self, records: &[ServerRecord]) -> Vec<ServerChange> {
        records
            .iter()
            .filter_map(|record| self.merge_record(record))
            .collect()
    }

    /// Where a server is reached; `None` if it is gone, or was listed without a usable address.
    #[must_use]
    pub(crate) fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        let name = self.by_server.get(&server)?;
        let instance = self.instances.get(name)?;
        let address = instance
            .address
            .filter(|_| instance.state != ServerState::Gone)?;
        let is_leaving = instance.state != ServerState::Ready;
        Some(Endpoint {
            instance_id: name.clone(),
            address,
            is_leaving,
        })
    }

    /// The entries of all servers of a service that are not gone.
    #[must_use]
    pub(crate) fn entries_of(&self, service: &str) -> Vec<ListedServer> {
        let of_service = self
            .instances
            .values()
            .filter(|i| &*i.service == service && i.state != ServerState::Gone);
        of_service.map(listed_entry).collect()
    }

    /// How many instances are not gone.
    #[must_use]
    pub(crate) fn live_count(&self) -> usize {
        self.instances.len() - self.gone.len()
    }

    fn merge_record(&mut self, record: &ServerRecord) -> Option<ServerChange> {
        let (service, zone) = (
            self.intern_service(&record.service),
            self.zone_number(&record.zone),
        );
        let address = record.address.parse().ok();
        if let Some((name, known)) = self.instances.get_key_value(record.instance.as_str()) {
            let is_older = record.state < known.state;
            if is_older
                || (record.state == known.state && record.sequence_number < known.sequence_number)
            {
                return None;
            }
            let name = name.clone();
            return self.update(&name, record, address, zone);
        }
        let name: Rc<str> = Rc::from(record.instance.as_str());
        let server = self.assign_id(&name);
        let instance = Instance {
            server,
            service: service.clone(),
            address,
            zone,
            state: record.state,
            sequence_number: record.sequence_number,
            is_suspect: record.is_suspect,
        };
        let entry = listed_entry(&instance);
        self.instances.insert(name.clone(), instance);
        self.by_server.insert(server, name.clone());
        if record.state == ServerState::Gone {
            self.remember_gone(name);
            return None;
        }
        Some(ServerChange { service, entry })
    }

    /// The id of an instance: the same at all routers, unless two instances share a hash, since routers
    /// choose servers by it.
    fn assign_id(&self, instance: &str) -> ServerId {
        let hash = stable_hash(instance.as_bytes());
        let mut id = ServerId((hash ^ (hash >> 32)) as u32);
        while self.by_server.contains_key(&id) {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }

    fn update(
        &mut self,
        name: &Rc<str>,
        record: &ServerRecord,
        address: Option<SocketAddr>,
        zone: u32,
    ) -> Option<ServerChange> {
        let known = self.instances.get_mut(name)?;
        let (before, previous_state) = (listed_entry(known), known.state);
        known.sequence_number = known.sequence_number.max(record.sequence_number);
        known.address = address.or(known.address);
        (known.zone, known.state, known.is_suspect) = (zone, record.state, record.is_suspect);
        let (after, service) = (listed_entry(known), known.service.clone());
        if previous_state != ServerState::Gone && record.state == ServerState::Gone {
            self.remember_gone(name.clone());
        }
        (before != after).then_some(ServerChange {
            service,
            entry: after,
        })
    }

    /// Remembers that an instance is gone, and forgets the longest gone one where there are too many.
    fn remember_gone(&mut self, name: Rc<str>) {
        self.gone.push_back(name);
        if self.gone.len() <= MAX_REMEMBERED_GONE {
            return;
        }
        if let Some(instance) = self
            .gone
            .pop_front()
            .and_then(|oldest| self.instances.remove(&oldest))
        {
            self.by_server.remove(&instance.server);
        }
    }

    fn intern_service(&mut self, name: &str) -> Rc<str> {
        if let Some((known, ())) = self.services.get_key_value(name) {
            return known.clone();
        }
        let name: Rc<str> = Rc::from(name);
        self.services.insert(name.clone(), ());
        name
    }

    fn zone_number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.zones.get(name) {
            return number;
        }
        let number = self.zones.len() as u32;
        self.zones.insert(name.to_owned(), number);
        number
    }
}

fn listed_entry(instance: &Instance) -> ListedServer {
    let mode = match (instance.state, instance.is_suspect) {
        (ServerState::Ready, false) => ServerMode::Ready,
        // Control may be what can't be reached: it is used only where no other server is available.
        (ServerState::Ready, true) => ServerMode::Leaving,
        (ServerState::Draining, _) => ServerMode::Draining,
        (ServerState::Gone, _) => ServerMode::Gone,
    };
    let cell = instance.server.0 % SERVER_GROUPS;
    ListedServer {
        server: instance.server,
        cell,
        zone: instance.zone,
        mode,
        started_at: None,
    }
}

#[cfg(test)]
mod tests;
