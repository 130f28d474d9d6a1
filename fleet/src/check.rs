//! `check FILE`: whether a settings file or an operator's configuration could be used.

use crate::settings::{Settings, SettingsError};
use lichenswitch_configuration::{ConfigurationError, Document};
use std::path::Path;

/// What a file is, where it can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Checked {
    /// Settings of a process.
    Settings {
        /// Its `nodeName`.
        node: String,
    },
    /// An operator's configuration.
    Configuration {
        /// Its version.
        version: u64,
        /// Its routes.
        routes: usize,
        /// Its services.
        services: usize,
    },
}

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// It can't be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// As settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// As a configuration.
    #[error("configuration: {0}")]
    Configuration(#[from] ConfigurationError),
}

/// Checks a file: what begins with a brace is a configuration, all else is settings.
///
/// # Errors
/// What is wrong with it, by name.
pub fn check(path: &Path) -> Result<Checked, CheckError> {
    let bytes = std::fs::read(path)?;
    if bytes.trim_ascii_start().starts_with(b"{") {
        let document = Document::parse(&bytes)?;
        let (routes, services) = (document.routes().len(), document.services().len());
        return Ok(Checked::Configuration {
            version: document.version(),
            routes,
            services,
        });
    }
    let settings = Settings::parse(&String::from_utf8_lossy(&bytes))?;
    Ok(Checked::Settings {
        node: settings.node_name,
    })
}

impl std::fmt::Display for Checked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Checked::Settings { node } => write!(f, "settings of {node} can be used"),
            Checked::Configuration {
                version,
                routes,
                services,
            } => {
                write!(
                    f,
                    "configuration {version} can be used: {routes} routes, {services} services"
                )
            }
        }
    }
}
