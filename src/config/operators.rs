//! The operators' file, `deploy/lichenswitch.yaml`: what the platform does not provide. Each section
//! is off when it is absent, and so are all when the file is.

use super::operators_file::{OgcFile, OperatorsFile, PeersFile, PhasesFile};
use super::value_error::ValueError;
use crate::inventory::{read_text, ReadError};
use serde_saphyr::Spanned;
use std::path::{Path, PathBuf};

/// The file, from the root of the repository; `LICHENSWITCH_CONFIG` names another.
const DEFAULT_PATH: &str = "deploy/lichenswitch.yaml";

/// Why the operators' file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorsError {
    /// It can't be read.
    #[error(transparent)]
    File(#[from] ReadError),
    /// It is not of the right form.
    #[error("{}:{line}: {reason}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line, from 1; 0: not known.
        line: u64,
        /// What the parser says.
        reason: String,
    },
    /// The value of a key is missing or wrong.
    #[error("{}:{line}: {key}: {reason}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The line, from 1; 0: the key is missing.
        line: u64,
        /// The key.
        key: String,
        /// What is wrong with it.
        reason: ValueError,
    },
}

/// The operators' file, read and of the right form.
#[derive(Default)]
pub struct Operators {
    pub(super) path: PathBuf,
    pub(super) ogc: Option<OgcFile>,
    pub(super) peers: Option<PeersFile>,
    pub(super) phases: Option<PhasesFile>,
}

impl Operators {
    /// Reads the file; without one, all sections are off. One that the environment names has to
    /// exist.
    ///
    /// # Errors
    /// When it can't be read, or is not of the right form.
    pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Operators, OperatorsError> {
        match env("LICHENSWITCH_CONFIG") {
            Some(path) => Operators::load(Path::new(&path)),
            None if Path::new(DEFAULT_PATH).exists() => Operators::load(Path::new(DEFAULT_PATH)),
            None => Ok(Operators::default()),
        }
    }

    /// Reads the file. Paths in it are relative to its folder.
    ///
    /// # Errors
    /// When it can't be read, or is not of the right form.
    pub fn load(path: &Path) -> Result<Operators, OperatorsError> {
        let text = read_text(path)?;
        // A file of comments alone is an empty one.
        let is_empty = text
            .lines()
            .all(|l| l.trim().is_empty() || l.trim_start().starts_with('#'));
        let file = match is_empty {
            true => OperatorsFile::default(),
            false => serde_saphyr::from_str(&text).map_err(|e| OperatorsError::Syntax {
                path: path.into(),
                line: e.location().map_or(0, |l| l.line()),
                reason: e.to_string().lines().next().unwrap_or_default().into(),
            })?,
        };
        Ok(Operators {
            path: path.into(),
            ogc: file.ogc,
            peers: file.peers,
            phases: file.phases,
        })
    }

    /// The error that the value of a key can't be used; it names the line of the value.
    pub(super) fn invalid<T>(
        &self,
        value: &Spanned<T>,
        key: &str,
        reason: impl Into<ValueError>,
    ) -> OperatorsError {
        self.value_error(value.referenced.line(), key, reason.into())
    }

    /// The same where the file may lack the value: then the error names line 0.
    pub(super) fn invalid_optional<T>(
        &self,
        value: Option<&Spanned<T>>,
        key: &str,
        reason: ValueError,
    ) -> OperatorsError {
        let line = value.map_or(0, |value| value.referenced.line());
        self.value_error(line, key, reason)
    }

    fn value_error(&self, line: u64, key: &str, reason: ValueError) -> OperatorsError {
        OperatorsError::Value {
            path: self.path.clone(),
            line,
            key: key.into(),
            reason,
        }
    }

    /// The index of the class that the value of the key `class` names.
    ///
    /// # Errors
    /// There is no such class among `classes`.
    pub(super) fn class_index(
        &self,
        name: &Spanned<String>,
        classes: &[String],
    ) -> Result<usize, OperatorsError> {
        let index = classes.iter().position(|class| *class == name.value);
        index.ok_or_else(|| {
            let reason = ValueError::UnknownClass(name.value.clone());
            self.invalid(name, "class", reason)
        })
    }
}
