//! The command `check FILE`, which validates a settings file or an operator's configuration.

use crate::settings::{Settings, SettingsError};
use lichenswitch_configuration::{ConfigurationError, Document};
use std::path::Path;

/// The summary of a valid file, by the kind of the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckedFile {
    /// A settings file of a process.
    Settings {
        /// `nodeName` in the file.
        node: String,
    },
    /// An operator's configuration.
    Configuration {
        /// Version of the configuration.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// Number of services.
        services: usize,
    },
}

/// The reason why a file can't be read or is invalid.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The file can't be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// The file is not a valid settings file.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The file is not a valid configuration.
    #[error("configuration: {0}")]
    Configuration(#[from] ConfigurationError),
}

/// Checks a file. A file that begins with `{` is a configuration; any other file is settings.
///
/// # Errors
/// Returns an error if the file can't be read or is invalid. The error names the invalid fields.
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
