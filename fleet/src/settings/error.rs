//! Errors of reading the settings.

use super::PATH_VARIABLE;
use std::fmt;
use std::path::PathBuf;

/// The reason why the settings can't be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Neither the option nor the environment variable names a file.
    #[error("no settings file: give --settings FILE, or set {PATH_VARIABLE}")]
    NoPath,
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML.
    #[error("not TOML: {0}")]
    Syntax(Box<toml::de::Error>),
    /// Fields are missing or invalid.
    #[error("{0}")]
    Fields(FieldErrors),
}

/// All missing or invalid fields of a file, in the order in which they were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldErrors(pub Vec<FieldError>);

/// A missing or invalid field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Key of the field with the names of its tables, for example `limits.memoryMb`.
    pub key: String,
    /// Reason, which follows the key in the error text.
    pub reason: String,
}

impl fmt::Display for FieldErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            write!(
                f,
                "{}{}: {}",
                if i > 0 { "; " } else { "" },
                error.key,
                error.reason
            )?;
        }
        Ok(())
    }
}
