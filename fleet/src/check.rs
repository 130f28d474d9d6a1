//! The command `check FILE`: whether a settings file or an operator's configuration is valid.

use crate::settings::{Settings, SettingsError};
use lichenswitch_configuration::{ConfigurationError, Document};
use std::path::Path;

/// A valid file, by its kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckedFile {
    /// Settings of a process.
    Settings {
        /// Its `nodeName`.
        node: String,
    },
    /// An operator's configuration.
    Configuration {
        /// Its version.
        version: u64,
        /// The number of its routes.
        routes: usize,
        /// The number of its services.
        services: usize,
    },
}

/// Why a file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The file can't be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// It is no valid settings file.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// It is no valid configuration.
    #[error("configuration: {0}")]
    Configuration(#[from] ConfigurationError),
}

/// Checks a file: one that begins with a brace is a configuration, any other is settings.
///
/// # Errors
/// What is wrong with it, by field.
pub fn check(path: &Path) -> Result<CheckedFile, CheckError> {
    let bytes = std::fs::read(path)?;
    if bytes.trim_ascii_start().starts_with(b"{") {
        let document = Document::parse(&bytes)?;
        let (routes, services) = (document.routes().len(), document.services().len());
        return Ok(CheckedFile::Configuration {
            version: document.version(),
            routes,
            services,
        });
    }
    let settings = Settings::parse(&String::from_utf8_lossy(&bytes))?;
    Ok(CheckedFile::Settings {
        node: settings.node_name,
    })
}

impl std::fmt::Display for CheckedFile {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CheckedFile::Settings { node } => write!(f, "settings of {node} can be used"),
            CheckedFile::Configuration {
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
