//! What can be wrong with the configuration. Every message names the key, and the file and line where
//! there is one.

use super::operators::OperatorsError;
use super::settings::SettingsError;
use super::value_error::ValueError;
use crate::inventory::{InventoryError, ReadError};
use thiserror::Error;

/// Why the broker can't be configured.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The platform's file can't be read.
    #[error("NODE_CONFIG: {0}")]
    Read(#[from] ReadError),
    /// The platform's file is no JSON of the right form.
    #[error("NODE_CONFIG: {0}")]
    Json(#[from] serde_json::Error),
    /// A key of the platform's file is missing, and so is the variable that stands in for it.
    #[error("{key}: missing, and so is {variable}")]
    Missing {
        /// The key.
        key: &'static str,
        /// The variable of the environment.
        variable: &'static str,
    },
    /// The value of a key is wrong.
    #[error("{key}: {reason}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong with it.
        reason: ValueError,
    },
    /// The settings of the decision module.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operators' file.
    #[error(transparent)]
    Operators(#[from] OperatorsError),
    /// The inventory that the operators' file names.
    #[error(transparent)]
    Inventory(#[from] InventoryError),
    /// A key that the section `ogc` of the operators' file needs is missing.
    #[error("{file}: {key}: {reason}")]
    OgcKey {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// What is wrong with it.
        reason: &'static str,
    },
}

/// Text that is no address.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text:?} is no address of the form IP:PORT")]
pub struct AddressError {
    /// The text.
    pub text: String,
}
