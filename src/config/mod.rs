//! Configuration: the one place where environment, JSON and files of `deploy/` are read, checked and given
//! defaults. Every message names the faulty key.

pub mod settings;

use crate::discovery::List;
use crate::interface::Settings;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

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
    /// For random numbers.
    pub seed: u64,
    /// Most descriptors.
    pub sockets: usize,
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
}

/// Descriptors that a broker may hold where it is told no limit, and at most.
const SOCKETS: usize = 1_024;

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: Option<Box<serde_json::value::RawValue>>,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
}

/// Reads an address.
pub(crate) fn address(text: &str, key: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{key}: {text:?} is no address of the form IP:PORT"))
}

/// Reads a file as text.
pub(crate) fn file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

impl Platform {
    /// Reads the configuration from the environment and the file that it names; `None` without such a file.
    pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Option<Platform>, String> {
        let Some(path) = env("NODE_CONFIG") else { return Ok(None) };
        let text = file(Path::new(&path)).map_err(|e| format!("NODE_CONFIG: {e}"))?;
        Platform::parse(&text, env).map(Some)
    }

    /// Reads the configuration from its JSON text; the environment stands in for what the text lacks.
    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Platform, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("NODE_CONFIG: {e}"))?;
        let told = |value: Option<String>, key: &str, variable: &str| {
            value.or_else(|| env(variable)).ok_or_else(|| format!("{key}: missing, and so is {variable}"))
        };
        let listen = told(file.listen, "listen", "NODE_LISTEN")?;
        let discovery = told(file.discovery, "discovery", "NODE_DISCOVERY")?;
        let seed = file.seed.unwrap_or_else(|| "0".into());
        let seed =
            u64::from_str_radix(&seed, 16).map_err(|_| format!("seed: {seed:?} is not hexadecimal"))?;
        let sockets = file.limits.sockets.unwrap_or(SOCKETS).min(SOCKETS);
        if sockets < 64 {
            return Err(format!("limits.sockets: {sockets} is too few, 64 at least"));
        }
        let facts = file.settings.ok_or("settings: missing")?;
        let site = settings::Site::parse(facts.get().as_bytes())?;
        Ok(Platform {
            name: told(file.name, "name", "NODE_NAME")?,
            listen: address(&listen, "listen")?,
            discovery: address(&discovery, "discovery")?,
            seed,
            sockets,
            known: file.known,
            settings: site.settings,
            classes: site.classes,
            zones: site.zones,
            connections: site.connections,
        })
    }
}

#[cfg(test)]
mod tests;
