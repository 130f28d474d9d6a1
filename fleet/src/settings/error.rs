//! Why there are no settings.

use super::PATH_VARIABLE;
use std::fmt;
use std::path::PathBuf;

/// Why there are no settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Neither the option nor the environment variable names a file.
    #[error("no settings file: give --settings FILE, or set {PATH_VARIABLE}")]
    NoPath,
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Its path.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// It is not TOML.
    #[error("not TOML: {0}")]
    Syntax(Box<toml::de::Error>),
    /// Fields are missing or invalid.
    #[error("{0}")]
    Fields(FieldErrors),
}

/// All invalid fields of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldErrors(pub Vec<FieldError>);

/// A missing or invalid field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Its key, with the table it stands in: `limits.memoryMb`.
    pub key: String,
    /// What is wrong with it.
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
