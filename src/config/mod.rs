//! Configuration: the one place where environment, JSON and files of `deploy/` are read, checked
//! and given defaults. Every message names the faulty key.

pub mod operators;
pub mod peers;
pub mod settings;

pub use operators::{Operators, Phases};
pub use peers::Peers;

use crate::contract::{Contract, Contracts};
use crate::discovery::List;
use crate::interface::{Discovery, Layout, Micros, RetrySafety, Settings};
use crate::inventory::{read_text, Inventory};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Connections to data nodes, as the settings allow them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connections {
    /// Calls that a connection carries at once.
    pub streams: usize,
    /// Microseconds for a connection to come up.
    pub connect: u64,
    /// Microseconds after which a data node closes an idle connection.
    pub idle: u64,
}

/// What the broker on the platform is told.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators call, if they do.
    pub management: Option<SocketAddr>,
    /// Where processes of this broker that run side by side find each other.
    pub scratch: Option<PathBuf>,
    /// For random numbers.
    pub seed: u64,
    /// Most descriptors.
    pub sockets: usize,
    /// Most memory, in bytes.
    pub memory: usize,
    /// The list as last held.
    pub known: Option<List>,
    /// The module's settings.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Connections to data nodes.
    pub connections: Connections,
    /// Names of the tenants, in the order of the module's quotas.
    pub tenants: Vec<String>,
    /// Within this after it was told that a node drains or is gone, nothing new goes there
    /// (microseconds).
    pub stop_within: Micros,
    /// How queries of two phases are planned.
    pub phases: Phases,
}

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

/// Descriptors that a broker may hold where it is told no limit, and at most.
pub const SOCKETS: usize = 1_024;
/// Megabytes that a broker may use where it is told no limit.
pub const MEMORY: usize = 192;

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    mgmt: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: Option<Box<serde_json::value::RawValue>>,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Reads an address.
pub(crate) fn address(text: &str, key: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{key}: {text:?} is no address of the form IP:PORT"))
}

impl Platform {
    /// Reads the configuration from the environment and the file that it names; `None` without such
    /// a file.
    pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Option<Platform>, String> {
        let Some(path) = env("NODE_CONFIG") else {
            return Ok(None);
        };
        let text = read_text(Path::new(&path)).map_err(|e| format!("NODE_CONFIG: {e}"))?;
        Platform::parse(&text, env).map(Some)
    }

    /// Reads the configuration from its JSON text; the environment stands in for what the text
    /// lacks.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Platform, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("NODE_CONFIG: {e}"))?;
        let told = |value: Option<String>, key: &str, variable: &str| {
            value
                .or_else(|| env(variable))
                .ok_or_else(|| format!("{key}: missing, and so is {variable}"))
        };
        let listen = told(file.listen, "listen", "NODE_LISTEN")?;
        let discovery = told(file.discovery, "discovery", "NODE_DISCOVERY")?;
        let management = file.mgmt.or_else(|| env("NODE_MGMT"));
        let seed = file.seed.unwrap_or_else(|| "0".into());
        let seed = u64::from_str_radix(&seed, 16)
            .map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?;
        let sockets = file.limits.sockets.unwrap_or(SOCKETS).min(SOCKETS);
        if sockets < 64 {
            return Err(format!("limits.sockets: {sockets} is too few, 64 at least"));
        }
        let memory = file.limits.memory_mb.unwrap_or(MEMORY);
        if memory < 16 {
            return Err(format!(
                "limits.memory_mb: {memory} is too few, 16 at least"
            ));
        }
        let facts = file.settings.ok_or("settings: missing")?;
        let site = settings::Site::parse(facts.get().as_bytes())?;
        Ok(Platform {
            name: told(file.name, "name", "NODE_NAME")?,
            listen: address(&listen, "listen")?,
            discovery: address(&discovery, "discovery")?,
            scratch: env("TMPDIR")
                .filter(|told| !told.is_empty())
                .map(PathBuf::from),
            management: management.map(|told| address(&told, "mgmt")).transpose()?,
            seed,
            sockets,
            memory: memory.saturating_mul(1 << 20),
            known: file.known,
            settings: site.settings,
            classes: site.classes,
            zones: site.zones,
            connections: site.connections,
            tenants: site.tenants,
            stop_within: site.stop_within,
            phases: Phases::default(),
        })
    }

    /// Takes over what the operators' file says of the platform's classes.
    pub fn apply(mut self, operators: &Operators) -> Result<Platform, String> {
        self.phases = operators
            .phases(&self.classes, &mut self.settings)
            .map_err(|e| e.to_string())?;
        Ok(self)
    }
}

/// What the OGC front is told.
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

/// Replicas of a slice where the file tells none.
const REPLICAS: u32 = 2;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OgcFile {
    listen: Option<Spanned<String>>,
    #[serde(default)]
    title: Option<String>,
    #[serde(default)]
    inventory: Option<Spanned<PathBuf>>,
    #[serde(default)]
    settings: Option<Spanned<PathBuf>>,
    #[serde(default)]
    replicas: Option<Spanned<u32>>,
    #[serde(default)]
    zone: Option<Spanned<String>>,
    #[serde(default)]
    collections: Vec<CollectionFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CollectionFile {
    id: Spanned<String>,
    #[serde(default)]
    title: Option<String>,
    class: Spanned<String>,
    #[serde(default)]
    wait_ms: Option<Spanned<u64>>,
}

impl Ogc {
    /// Reads the section `ogc` of the operators' file; `None` where there is none, or where it
    /// names no address to listen on. Its settings are those of a file that it names, or else the
    /// platform's.
    pub fn load(operators: &Operators, platform: Option<&Platform>) -> Result<Option<Ogc>, String> {
        let Some(read) = &operators.ogc else {
            return Ok(None);
        };
        let path = operators.path.as_path();
        let name = path.display();
        let Some(listen) = &read.listen else {
            return Ok(None);
        };
        let at = |line: u64| format!("{name}:{line}: ");
        let here = |line: u64, key: &str, why: String| operators.fault(line, key, &why).to_string();
        let beside = |other: &Path| path.parent().unwrap_or(Path::new("")).join(other);
        let line = listen.referenced.line();
        let address = address(&listen.value, "listen").map_err(|why| at(line) + &why)?;
        let inventory = read
            .inventory
            .as_ref()
            .ok_or_else(|| format!("{name}: inventory: missing"))?;
        let inventory =
            Inventory::load(&beside(&inventory.value)).map_err(|error| error.to_string())?;
        let (mut settings, classes, connections) = match (&read.settings, platform) {
            (Some(told), _) => {
                let text = read_text(&beside(&told.value))
                    .map_err(|e| here(told.referenced.line(), "settings", e.to_string()))?;
                let site = settings::Site::parse(text.as_bytes())
                    .map_err(|e| here(told.referenced.line(), "settings", e.to_string()))?;
                (site.settings, site.classes, site.connections)
            }
            (None, Some(p)) => (p.settings.clone(), p.classes.clone(), p.connections),
            (None, None) => {
                return Err(format!("{name}: settings: missing, and so is NODE_CONFIG"))
            }
        };
        let cells = inventory.cells.len() as u32;
        let (replicas, line) = read
            .replicas
            .as_ref()
            .map_or((REPLICAS, 0), |r| (r.value, r.referenced.line()));
        if replicas == 0 || replicas > cells {
            return Err(here(
                line,
                "replicas",
                format!("{replicas}, but there are {cells} cells"),
            ));
        }
        let mut collections: Vec<Collection> = Vec::new();
        for told in &read.collections {
            let (id, line) = (&told.id.value, told.id.referenced.line());
            if id.is_empty() || collections.iter().any(|c| c.id == *id) {
                return Err(here(line, "id", format!("{id:?} is empty or there twice")));
            }
            let line = told.class.referenced.line();
            let class = classes.iter().position(|c| *c == told.class.value);
            let class = class.ok_or_else(|| {
                here(
                    line,
                    "class",
                    format!("there is no class {:?}", told.class.value),
                )
            })?;
            // Guards writes: a class whose parts must not be repeated at will records something,
            // and a read that was mapped to it would be taken for that.
            if settings.classes[class].repeat != RetrySafety::Safe {
                let why = format!("{:?} is for writes and can't be read", told.class.value);
                return Err(here(line, "class", why));
            }
            let most = settings.classes[class].deadline;
            let wait = match &told.wait_ms {
                Some(wait) if wait.value == 0 || wait.value.saturating_mul(1_000) > most => {
                    let why = format!(
                        "{} is not within the class's {} ms",
                        wait.value,
                        most / 1_000
                    );
                    return Err(here(wait.referenced.line(), "wait_ms", why));
                }
                wait => wait.as_ref().map_or(most, |wait| wait.value * 1_000),
            };
            let title = told.title.clone().unwrap_or_else(|| id.clone());
            collections.push(Collection {
                id: id.clone(),
                title,
                class,
                sorted: class,
                wait,
            });
        }
        if collections.is_empty() {
            return Err(format!("{name}: collections: there are none"));
        }
        if let Some(zone) = &read.zone {
            let found = inventory.zones.iter().position(|z| *z == zone.value);
            let why = format!("there is no zone {:?} in the inventory", zone.value);
            settings.zone = found.ok_or_else(|| here(zone.referenced.line(), "zone", why))? as u32;
        }
        // The inventory is the list of data nodes, a GET holds one part, and the standard has no
        // second step.
        settings.discovery = Discovery::Push;
        let shards = inventory.slices.len() as u32;
        settings.layout = Layout {
            cells,
            width: replicas,
            shards,
            parts_a_call: 1,
        };
        settings
            .classes
            .iter_mut()
            .for_each(|class| class.second_step = 0);
        let mut contracts = inventory
            .contracts(&classes)
            .map_err(|error| error.to_string())?;
        let phases = operators
            .sorted(&classes, &mut settings, &mut collections, &mut contracts)
            .map_err(|e| e.to_string())?;
        if let Some(budget) = Contracts::new(contracts.clone()).budget() {
            settings.limits.budget = Some(budget);
        }
        Ok(Some(Ogc {
            listen: address,
            title: read.title.clone().unwrap_or_else(|| "lichenswitch".into()),
            collections,
            inventory,
            settings,
            contracts,
            seed: platform.map_or(0, |p| p.seed),
            memory: platform.map_or(MEMORY << 20, |p| p.memory),
            connections: Connections {
                streams: 1,
                ..connections
            },
            phases,
        }))
    }
}

#[cfg(test)]
mod tests;
