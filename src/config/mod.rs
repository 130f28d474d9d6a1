//! Configuration: the one place where environment, JSON and files of `deploy/` are read, checked
//! and given defaults.
//!
//! - [`Platform`]: the platform's file, by `NODE_CONFIG`, and the environment;
//! - [`Operators`]: the operators' file, with the sections [`Ogc`], [`PeersConfig`] and [`Phases`];
//! - [`settings`]: the settings of the decision module, which the platform's file holds.
//!
//! A [`ConfigError`] names the faulty key.

mod error;
mod ogc;
pub mod operators;
mod operators_file;
pub mod peers;
mod phases;
pub mod settings;
mod value_error;

pub use crate::peer::PeersConfig;
pub use error::{AddressError, ConfigError};
pub use ogc::{Collection, Ogc};
pub use operators::{Operators, OperatorsError};
pub use phases::Phases;
pub use value_error::ValueError;

use crate::discovery::List;
use crate::interface::{Micros, Settings};
use crate::inventory::read_text;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Connections to data nodes, as the settings allow them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connections {
    /// Calls that a connection carries at once.
    pub max_streams: usize,
    /// Microseconds for a connection to come up.
    pub connect_timeout: Micros,
    /// Microseconds after which a data node closes an idle connection.
    pub idle_timeout: Micros,
}

/// The configuration of the broker on the platform.
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
    /// The last known list of data nodes.
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
    /// Within this after a node was listed as draining or gone, nothing new goes there
    /// (microseconds).
    pub stop_within: Micros,
    /// How queries of two phases are planned.
    pub phases: Phases,
}

/// Descriptors that a broker may hold where no limit is set, and at most.
pub const SOCKETS: usize = 1_024;
/// Megabytes that a broker may use where no limit is set.
pub const MEMORY: usize = 192;
/// Fewest descriptors that a broker can work with.
const LEAST_SOCKETS: usize = 64;
/// Fewest megabytes that a broker can work with.
const LEAST_MEMORY: usize = 16;

/// The platform's file as it is written.
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

/// The section `limits` of the platform's file.
#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Limits {
    /// Most descriptors.
    fn sockets(&self) -> Result<usize, ConfigError> {
        let sockets = self.sockets.unwrap_or(SOCKETS).min(SOCKETS);
        at_least("limits.sockets", sockets, LEAST_SOCKETS)
    }

    /// Most memory, in bytes.
    fn memory(&self) -> Result<usize, ConfigError> {
        let megabytes = self.memory_mb.unwrap_or(MEMORY);
        let megabytes = at_least("limits.memory_mb", megabytes, LEAST_MEMORY)?;
        Ok(megabytes.saturating_mul(1 << 20))
    }
}

/// Reads an address.
pub(crate) fn address(text: &str) -> Result<SocketAddr, AddressError> {
    text.parse().map_err(|_| AddressError { text: text.into() })
}

/// Reads the address that a key of the platform's file holds.
fn address_of(key: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    address(text).map_err(|error| ConfigError::Value {
        key,
        reason: error.into(),
    })
}

impl Platform {
    /// Reads the configuration from the environment and the file that it names; `None` without such
    /// a file.
    ///
    /// # Errors
    /// The file can't be read, or what is wrong with a key.
    pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Option<Platform>, ConfigError> {
        let Some(path) = env("NODE_CONFIG") else {
            return Ok(None);
        };
        let text = read_text(Path::new(&path))?;
        Platform::parse(&text, env).map(Some)
    }

    /// Reads the configuration from its JSON text; the environment stands in for what the text
    /// lacks.
    ///
    /// # Errors
    /// The text is no JSON of the right form, or what is wrong with a key.
    pub fn parse(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Platform, ConfigError> {
        let file: File = serde_json::from_str(text)?;
        let required = |value: Option<String>, key: &'static str, variable: &'static str| {
            value
                .or_else(|| env(variable))
                .ok_or(ConfigError::Missing { key, variable })
        };
        let listen = required(file.listen, "listen", "NODE_LISTEN")?;
        let discovery = required(file.discovery, "discovery", "NODE_DISCOVERY")?;
        let management = file.mgmt.or_else(|| env("NODE_MGMT"));
        let seed = seed(file.seed)?;
        let sockets = file.limits.sockets()?;
        let memory = file.limits.memory()?;
        let settings = file.settings.ok_or(ConfigError::Value {
            key: "settings",
            reason: ValueError::Missing,
        })?;
        let site = settings::Site::parse(settings.get().as_bytes())?;
        Ok(Platform {
            name: required(file.name, "name", "NODE_NAME")?,
            listen: address_of("listen", &listen)?,
            discovery: address_of("discovery", &discovery)?,
            scratch: env("TMPDIR")
                .filter(|folder| !folder.is_empty())
                .map(PathBuf::from),
            management: management
                .map(|text| address_of("mgmt", &text))
                .transpose()?,
            seed,
            sockets,
            memory,
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
    ///
    /// # Errors
    /// What is wrong with the section `phases`.
    pub fn apply(mut self, operators: &Operators) -> Result<Platform, ConfigError> {
        self.phases = operators.phases(&self.classes, &mut self.settings)?;
        Ok(self)
    }
}

/// The seed of random numbers, hexadecimal; 0 where there is none.
fn seed(text: Option<String>) -> Result<u64, ConfigError> {
    let text = text.unwrap_or_else(|| "0".into());
    u64::from_str_radix(&text, 16).map_err(|_| ConfigError::Value {
        key: "seed",
        reason: ValueError::NotHexadecimal(text),
    })
}

/// The value of a key, unless it is below the least with which a broker can work.
fn at_least(key: &'static str, value: usize, least: usize) -> Result<usize, ConfigError> {
    if value < least {
        return Err(ConfigError::Value {
            key,
            reason: ValueError::TooFew { value, least },
        });
    }
    Ok(value)
}

#[cfg(test)]
mod tests;
