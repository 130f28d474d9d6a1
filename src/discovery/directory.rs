//! The data nodes by name: what lists say of them, and how operators override that.

use crate::interface::{ListedServer, ServerId, ServerMode, Time};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// A list of data nodes as discovery sends it: all of them, or changes.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// Whether it is complete; otherwise it holds changes.
    #[serde(default)]
    pub reset: bool,
    /// Its lines.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// A line of the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The same at every broker.
    pub instance_id: String,
    /// Where it listens.
    pub host_port: String,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Its cell, where the line has one.
    #[serde(default)]
    pub cell: Option<u32>,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Unix time of its last start; 0: long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of a data node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// Takes work.
    Serving,
    /// Wants nothing new.
    Draining,
    /// Is gone.
    Deleted,
    /// A state that this program does not know.
    #[serde(other)]
    Unknown,
}

/// The data nodes that are listed: their ids here, and where they listen.
#[derive(Default)]
pub struct Directory {
    zones: Vec<String>,
    ids: HashMap<String, ServerId>,
    nodes: HashMap<ServerId, Node>,
    /// How many cells there are; `None`: it is not known.
    cells: Option<u32>,
    /// The number of the next data node that is added.
    next_id: u32,
    /// Nodes that went since they were last taken.
    gone: Vec<ServerId>,
    overrides: OperatorOverrides,
    log: Vec<String>,
}

/// What operators have set, which overrides what the list says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorOverrides {
    /// Data nodes that are out of service, by id: they drain, whatever the list says.
    pub out: BTreeSet<String>,
    /// Data nodes that were taken out just now: they are sent what nobody else takes for a moment
    /// yet.
    pub leaving: BTreeSet<String>,
    /// Data nodes that were put back: since when they had been out, and when they were put back.
    /// They may have been started anew at any moment between.
    pub back: BTreeMap<String, (Time, Time)>,
}

impl OperatorOverrides {
    /// A line of the list with the overrides applied. One that was put back counts as started just
    /// then, where the list knows of no start since it was taken out: it was out so that it could
    /// be restarted, and the list may hear of that late or never.
    fn apply_to(&self, name: &str, line: ListedServer) -> ListedServer {
        if line.mode == ServerMode::Ready && self.out.contains(name) {
            return ListedServer {
                mode: ServerMode::Draining,
                ..line
            };
        }
        if line.mode == ServerMode::Ready && self.leaving.contains(name) {
            return ListedServer {
                mode: ServerMode::Leaving,
                ..line
            };
        }
        match self.back.get(name) {
            Some((out, back)) if line.started_at.is_none_or(|at| at < *out) => ListedServer {
                started_at: Some(*back),
                ..line
            },
            _ => line,
        }
    }
}

/// What is known of a data node.
struct Node {
    name: String,
    address: Option<SocketAddr>,
    cell: u32,
    /// As the list has it.
    line: Option<ListedServer>,
}

impl Directory {
    /// An empty directory; zones are numbered in the order given.
    #[must_use]
    pub fn new(zones: Vec<String>) -> Self {
        Directory {
            zones,
            ..Directory::default()
        }
    }

    /// The same where there are so many cells: lines of others are left aside.
    #[must_use]
    pub fn with_cells(self, cells: u32) -> Self {
        Directory {
            cells: Some(cells),
            ..self
        }
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Where a data node listens.
    #[must_use]
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.nodes.get(&server).and_then(|n| n.address)
    }

    /// The name that discovery has for it.
    #[must_use]
    pub fn name(&self, server: ServerId) -> &str {
        self.nodes.get(&server).map_or("?", |n| &n.name)
    }

    /// How many data nodes are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Applies a complete list, and returns it in the module's terms. What is absent is gone.
    pub fn replace_list(&mut self, instances: &[Instance]) -> Vec<ListedServer> {
        let listed: HashSet<&str> = instances.iter().map(|i| i.instance_id.as_str()).collect();
        let absent: Vec<String> = self
            .ids
            .keys()
            .filter(|id| !listed.contains(id.as_str()))
            .cloned()
            .collect();
        absent.iter().for_each(|id| self.remove(id));
        self.apply_changes(instances)
    }

    /// Applies changed lines, and returns them in the module's terms.
    pub fn apply_changes(&mut self, instances: &[Instance]) -> Vec<ListedServer> {
        instances
            .iter()
            .filter_map(|node| self.apply_change(node))
            .collect()
    }

    fn apply_change(&mut self, node: &Instance) -> Option<ListedServer> {
        let is_deleted = node.lifecycle == Lifecycle::Deleted;
        let known = self.ids.get(&node.instance_id).copied();
        let cell = self.cell_of(node, known)?;
        let server = match known {
            Some(server) => server,
            None if is_deleted => return None,
            None => self.add(&node.instance_id, cell),
        };
        if let Some(entry) = self.nodes.get_mut(&server) {
            entry.cell = cell;
            // A line without a usable address keeps the last one.
            entry.address = node.host_port.parse().ok().or(entry.address);
        }
        if is_deleted {
            self.remove(&node.instance_id);
        }
        let line = ListedServer {
            server,
            cell,
            zone: self.zone_of(node),
            mode: mode_of(node.lifecycle),
            started_at: (node.started_at_ms > 0)
                .then_some(Time(node.started_at_ms.saturating_mul(1_000))),
        };
        if let Some(entry) = self.nodes.get_mut(&server) {
            entry.line = Some(line);
        }
        Some(self.overrides.apply_to(&node.instance_id, line))
    }

    /// The number of a line's zone; `u32::MAX`: it is not known.
    fn zone_of(&self, node: &Instance) -> u32 {
        let position = self.zones.iter().position(|zone| *zone == node.zone);
        position.map_or(u32::MAX, |index| index as u32)
    }

    /// The cell of a line, or the last one of its node where the line has none that there is;
    /// `None`: the line can't be used.
    fn cell_of(&mut self, node: &Instance, known: Option<ServerId>) -> Option<u32> {
        let is_deleted = node.lifecycle == Lifecycle::Deleted;
        // Guards data nodes: one whose cell is not known would be sent parts of shards that it does
        // not hold. One that is known keeps its cell, since whether it drains counts.
        let listed = node
            .cell
            .filter(|cell| self.cells.is_none_or(|cells| *cell < cells));
        let last = known
            .and_then(|server| self.nodes.get(&server))
            .map(|n| n.cell);
        if listed.is_none() && !is_deleted {
            let problem = node.cell.map_or("no cell".into(), |cell| {
                format!("cell {cell}, which there is not")
            });
            let consequence = if last.is_some() {
                "it keeps its last one"
            } else {
                "the line is left aside"
            };
            self.log.push(format!(
                "discovery: {} has {problem}: {consequence}",
                node.instance_id
            ));
        }
        let unlisted = (is_deleted && known.is_some()).then_some(0);
        listed.or(last).or(unlisted)
    }

    /// Gives a new node its number.
    fn add(&mut self, id: &str, cell: u32) -> ServerId {
        let server = ServerId(self.next_id);
        self.next_id += 1;
        self.ids.insert(id.into(), server);
        let node = Node {
            name: id.into(),
            address: None,
            cell,
            line: None,
        };
        self.nodes.insert(server, node);
        server
    }

    /// Replaces the overrides, and returns the lines that differ by that.
    pub fn set_overrides(&mut self, overrides: OperatorOverrides) -> Vec<ListedServer> {
        let before = std::mem::replace(&mut self.overrides, overrides);
        let lines = self.nodes.values().filter_map(|n| Some((&n.name, n.line?)));
        let lines = lines.map(|(name, line)| {
            (
                before.apply_to(name, line),
                self.overrides.apply_to(name, line),
            )
        });
        lines
            .filter(|(was, is)| was != is)
            .map(|(_, is)| is)
            .collect()
    }

    /// Ids of all that are listed.
    #[must_use]
    pub fn names(&self) -> BTreeSet<String> {
        self.nodes.values().map(|n| n.name.clone()).collect()
    }

    /// How many listed data nodes an override takes out.
    #[must_use]
    pub fn overridden_count(&self) -> usize {
        let is_overridden = |node: &&Node| {
            [&self.overrides.out, &self.overrides.leaving]
                .iter()
                .any(|set| set.contains(&node.name))
        };
        self.nodes.values().filter(is_overridden).count()
    }

    /// Forgets a node that is gone. Guards memory: on a long day most nodes are
    /// replaced often, each time under a new name.
    fn remove(&mut self, id: &str) {
        if let Some(server) = self.ids.remove(id) {
            self.nodes.remove(&server);
            self.gone.push(server);
        }
    }

    /// The nodes that went since the last time.
    pub fn take_gone(&mut self) -> Vec<ServerId> {
        std::mem::take(&mut self.gone)
    }
}

/// The module's mode of a data node in this state.
fn mode_of(lifecycle: Lifecycle) -> ServerMode {
    match lifecycle {
        Lifecycle::Serving => ServerMode::Ready,
        // To be in a state that is not known is no reason to be sent anything.
        Lifecycle::Draining | Lifecycle::Unknown => ServerMode::Draining,
        Lifecycle::Deleted => ServerMode::Gone,
    }
}

#[cfg(test)]
mod tests;
