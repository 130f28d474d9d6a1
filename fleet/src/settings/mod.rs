//! Settings of a process: the file that the platform writes for it.
//!
//! It promises to ignore fields that it doesn't know, and to name *all* invalid fields of a file at
//! once, each by its key. `model` has the typed record, `parse` reads it, `fields` reads one field.

mod error;
mod fields;
mod model;
mod parse;

use std::path::PathBuf;

pub use error::{FieldError, FieldErrors, SettingsError};
pub use model::{Bounds, FaultTolerance, Limits, ListenAddresses, PortRange, Settings};

/// The environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "LICHENSWITCH_CONFIG";

/// The path of the settings file: the option's, or that of the variable [`PATH_VARIABLE`].
///
/// # Errors
/// Neither is given.
pub fn path(option: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
    let variable = || std::env::var_os(PATH_VARIABLE).map(PathBuf::from);
    option.or_else(variable).ok_or(SettingsError::NoPath)
}
