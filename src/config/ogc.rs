//! The section `ogc` of the operators' file: the front for OGC API Features.

use super::operators::OperatorsError;
use super::operators_file::{CollectionFile, OgcFile};
use super::value_error::ValueError;
use super::{address, settings, ConfigError, Connections, Operators, Phases, Platform, MEMORY};
use crate::contract::{Contract, Contracts};
use crate::interface::{Class, Discovery, Layout, Micros, RetrySafety, Settings};
use crate::inventory::{read_text, Inventory};
use serde_saphyr::Spanned;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A collection that clients of the OGC front may read.
#[derive(Clone, Debug, PartialEq)]
pub struct Collection {
    /// Its id in paths.
    pub id: String,
    /// Its title.
    pub title: String,
    /// Index of the class under whose rules it is read.
    pub class: usize,
    /// The same for sorted answers, which take two steps.
    pub sorted: usize,
    /// How long a client is taken to wait.
    pub wait: Micros,
}

/// The configuration of the OGC front.
#[derive(Clone, Debug)]
pub struct Ogc {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Title of the landing page.
    pub title: String,
    /// Collections that clients may read.
    pub collections: Vec<Collection>,
    /// Slices, cells, data nodes and teams.
    pub inventory: Inventory,
    /// The module's settings, with the inventory's layout.
    pub settings: Settings,
    /// Contracts of the teams.
    pub contracts: Vec<(String, Contract)>,
    /// For random numbers.
    pub seed: u64,
    /// Most memory, in bytes; both fronts share it where both serve.
    pub memory: usize,
    /// Connections to data nodes.
    pub connections: Connections,
    /// How sorted answers are planned.
    pub phases: Phases,
}

/// Replicas of a slice where the file gives none.
const REPLICAS: u32 = 2;

impl Ogc {
    /// Reads the section `ogc` of the operators' file; `None` where there is none, or where it
    /// names no address to listen on. Its settings are those of a file that it names, or else the
    /// platform's.
    ///
    /// # Errors
    /// What is wrong with a key of the section, its settings or its inventory.
    pub fn load(
        operators: &Operators,
        platform: Option<&Platform>,
    ) -> Result<Option<Ogc>, ConfigError> {
        let Some(read) = &operators.ogc else {
            return Ok(None);
        };
        let Some(listen) = &read.listen else {
            return Ok(None);
        };
        let section = Section { operators, read };
        let listen =
            address(&listen.value).map_err(|error| operators.invalid(listen, "listen", error))?;
        let inventory = section.inventory()?;
        let (mut settings, classes, connections) = section.settings(platform)?;
        let replicas = section.replicas(&inventory)?;
        let mut collections = section.collections(&classes, &settings.classes)?;
        if let Some(zone) = &read.zone {
            settings.zone = section.zone(zone, &inventory)?;
        }
        follow_inventory(&mut settings, &inventory, replicas);
        let mut contracts = inventory.contracts(&classes)?;
        let phases = operators.add_sorted_classes(
            &classes,
            &mut settings,
            &mut collections,
            &mut contracts,
        )?;
        if let Some(budget) = Contracts::new(contracts.clone()).budget() {
            settings.limits.budget = Some(budget);
        }
        Ok(Some(Ogc {
            listen,
            title: read.title.clone().unwrap_or_else(|| "lichenswitch".into()),
            collections,
            inventory,
            settings,
            contracts,
            seed: platform.map_or(0, |p| p.seed),
            memory: platform.map_or(MEMORY << 20, |p| p.memory),
            connections: Connections {
                max_streams: 1,
                ..connections
            },
            phases,
        }))
    }
}

/// Fits the settings to the front: the inventory is the list of data nodes, a GET holds one part, and
/// the standard has no second step.
fn follow_inventory(settings: &mut Settings, inventory: &Inventory, replicas: u32) {
    settings.discovery = Discovery::Push;
    settings.layout = Layout {
        cells: inventory.cells.len() as u32,
        width: replicas,
        shards: inventory.slices.len() as u32,
        parts_a_call: 1,
    };
    for class in &mut settings.classes {
        class.second_step = 0;
    }
}

/// The section as it was read, and the file that it stands in.
struct Section<'a> {
    operators: &'a Operators,
    read: &'a OgcFile,
}

impl Section<'_> {
    /// The error that names a key alone.
    fn key_error(&self, key: &'static str, reason: &'static str) -> ConfigError {
        ConfigError::OgcKey {
            file: self.operators.path.display().to_string(),
            key,
            reason,
        }
    }

    /// Paths in the file start from its folder.
    fn beside(&self, other: &PathBuf) -> PathBuf {
        let folder = self.operators.path.parent();
        folder.map_or_else(|| other.clone(), |folder| folder.join(other))
    }

    fn inventory(&self) -> Result<Inventory, ConfigError> {
        let Some(path) = &self.read.inventory else {
            return Err(self.key_error("inventory", "missing"));
        };
        Ok(Inventory::load(&self.beside(&path.value))?)
    }

    /// The settings, the names of their classes, and the limits of connections.
    fn settings(
        &self,
        platform: Option<&Platform>,
    ) -> Result<(Settings, Vec<String>, Connections), ConfigError> {
        let Some(path) = &self.read.settings else {
            return platform
                .map(|p| (p.settings.clone(), p.classes.clone(), p.connections))
                .ok_or_else(|| self.key_error("settings", "missing, and so is NODE_CONFIG"));
        };
        let text = read_text(&self.beside(&path.value))
            .map_err(|error| self.operators.invalid(path, "settings", error))?;
        let site = settings::Site::parse(text.as_bytes())
            .map_err(|error| self.operators.invalid(path, "settings", error))?;
        Ok((site.settings, site.classes, site.connections))
    }

    fn replicas(&self, inventory: &Inventory) -> Result<u32, OperatorsError> {
        let cells = inventory.cells.len() as u32;
        let value = self.read.replicas.as_ref();
        let replicas = value.map_or(REPLICAS, |value| value.value);
        if replicas == 0 || replicas > cells {
            let reason = ValueError::Replicas { replicas, cells };
            return Err(self.operators.invalid_optional(value, "replicas", reason));
        }
        Ok(replicas)
    }

    fn zone(&self, zone: &Spanned<String>, inventory: &Inventory) -> Result<u32, OperatorsError> {
        let position = inventory.zones.iter().position(|z| *z == zone.value);
        position.map(|number| number as u32).ok_or_else(|| {
            let reason = ValueError::UnknownZone(zone.value.clone());
            self.operators.invalid(zone, "zone", reason)
        })
    }

    fn collections(
        &self,
        names: &[String],
        classes: &[Class],
    ) -> Result<Vec<Collection>, ConfigError> {
        let mut collections: Vec<Collection> = Vec::new();
        for read in &self.read.collections {
            let id = &read.id.value;
            if id.is_empty() || collections.iter().any(|c| c.id == *id) {
                let reason = ValueError::EmptyOrRepeated(id.clone());
                return Err(self.operators.invalid(&read.id, "id", reason).into());
            }
            collections.push(self.collection(read, names, classes)?);
        }
        if collections.is_empty() {
            return Err(self.key_error("collections", "there are none"));
        }
        Ok(collections)
    }

    fn collection(
        &self,
        read: &CollectionFile,
        names: &[String],
        classes: &[Class],
    ) -> Result<Collection, OperatorsError> {
        let class = self.operators.class_index(&read.class, names)?;
        // Guards writes: a class whose parts must not be repeated at will records something, and a
        // read that was mapped to it would be taken for that.
        if classes[class].retry_safety != RetrySafety::Safe {
            let reason = ValueError::WriteClass(read.class.value.clone());
            return Err(self.operators.invalid(&read.class, "class", reason));
        }
        let wait = self.wait(read.wait_ms.as_ref(), classes[class].deadline)?;
        let id = read.id.value.clone();
        Ok(Collection {
            title: read.title.clone().unwrap_or_else(|| id.clone()),
            id,
            class,
            sorted: class,
            wait,
        })
    }

    /// How long a client is taken to wait: up to the deadline of the class, which is the default.
    fn wait(
        &self,
        wait_ms: Option<&Spanned<u64>>,
        deadline: Micros,
    ) -> Result<Micros, OperatorsError> {
        let Some(wait) = wait_ms else {
            return Ok(deadline);
        };
        if wait.value == 0 || wait.value.saturating_mul(1_000) > deadline {
            let reason = ValueError::BeyondDeadline {
                wait_ms: wait.value,
                deadline_ms: deadline / 1_000,
            };
            return Err(self.operators.invalid(wait, "wait_ms", reason));
        }
        Ok(wait.value * 1_000)
    }
}
