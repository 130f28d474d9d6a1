//! The inventory: zones, cells, slices of the city area, data nodes and teams, as configuration
//! tools keep it.
//!
//! It is one YAML file with a list for each kind, or a folder with a CSV file for each kind. `rows`
//! reads either into the same rows, which `check` checks in one place; an [`InventoryError`] names
//! file, line and key, and a faulty inventory is rejected as a whole.

mod check;
mod error;
mod rows;

pub use error::{InventoryError, ReadError};

use crate::contract::Contract;
use crate::interface::Budget;
use std::net::SocketAddr;
use std::path::Path;

/// West, south, east and north, in degrees.
pub type Bounds = [f64; 4];

/// A slice of the city area: its position in the list is the number of its shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Slice {
    /// Its name.
    pub name: String,
    /// Its area.
    pub bounds: Bounds,
}

/// A data node.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: String,
}

/// A team, with the names of the classes that it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Classes by name; empty: all.
    pub classes: Vec<String>,
    /// Queries a second.
    pub rate: Option<f64>,
    /// Attempts beyond the first of each part.
    pub budget: Option<Budget>,
}

/// A checked inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Names of the cells, by number.
    pub cells: Vec<String>,
    /// Slices, by number.
    pub slices: Vec<Slice>,
    /// Data nodes.
    pub nodes: Vec<Node>,
    /// Teams.
    pub teams: Vec<Team>,
}

/// Reads a file of the operators as text.
pub(crate) fn read_text(path: &Path) -> Result<String, ReadError> {
    std::fs::read_to_string(path).map_err(|source| ReadError {
        path: path.to_path_buf(),
        source,
    })
}

impl Inventory {
    /// Reads a YAML file, or a folder of CSV files.
    ///
    /// # Errors
    /// What can't be read, or the first value that is faulty: its file, line and key.
    pub fn load(path: &Path) -> Result<Inventory, InventoryError> {
        let rows = if path.is_dir() {
            rows::read_csv(path)?
        } else {
            rows::read_yaml(path)?
        };
        check::check(&rows)
    }

    /// The contracts of its teams; `classes` are the names of the settings' classes.
    ///
    /// # Errors
    /// A team that names a class which the settings lack.
    pub fn contracts(&self, classes: &[String]) -> Result<Vec<(String, Contract)>, InventoryError> {
        self.teams
            .iter()
            .map(|team| Ok((team.name.clone(), team.contract(classes)?)))
            .collect()
    }
}

impl Team {
    fn contract(&self, classes: &[String]) -> Result<Contract, InventoryError> {
        let index = |name: &String| {
            let position = classes.iter().position(|class| class == name);
            position.ok_or_else(|| InventoryError::UnknownClass {
                team: self.name.clone(),
                class: name.clone(),
            })
        };
        Ok(Contract {
            classes: self.classes.iter().map(index).collect::<Result<_, _>>()?,
            rate: self.rate,
            budget: self.budget,
        })
    }
}

#[cfg(test)]
mod tests;
