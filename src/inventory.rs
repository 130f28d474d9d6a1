//! The inventory: zones, cells, slices of the city area, data nodes and teams, as configuration
//! tools keep it.
//!
//! It is one YAML file with a list for each kind, or a folder with a CSV file for each kind. Either
//! becomes the same rows, which are checked in one place; an error names file, line and key, and a
//! faulty inventory is rejected whole.

use crate::contract::Contract;
use crate::interface::Budget;
use serde_saphyr::Spanned;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// West, south, east and north, in degrees.
pub type Bounds = [f64; 4];

/// A slice of the city area: its place in the list is the number of its shard.
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

/// Reads a file of the operators as text; the error names it.
pub(crate) fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// The kinds of rows, the keys of each, and whether there must be any.
const KINDS: [(&str, &[&str], bool); 5] = [
    ("zones", &["name"], true),
    ("cells", &["name"], true),
    ("slices", &["name", "west", "south", "east", "north"], true),
    ("nodes", &["name", "address", "cell", "zone"], true),
    (
        "teams",
        &[
            "name",
            "classes",
            "rate",
            "attempts_least",
            "attempts_share",
            "attempts_window_s",
        ],
        false,
    ),
];

/// One row of either format, with the line of each of its values.
struct Row {
    file: String,
    line: u64,
    values: BTreeMap<String, (String, u64)>,
}

impl Row {
    fn fault(&self, key: &str, why: &str) -> String {
        let line = self.values.get(key).map_or(self.line, |v| v.1);
        format!("{}:{line}: {key}: {why}", self.file)
    }

    /// The value of a key that may be left out or empty.
    fn maybe(&self, key: &str) -> Option<&str> {
        self.values
            .get(key)
            .map(|v| v.0.trim())
            .filter(|v| !v.is_empty())
    }

    fn text(&self, key: &str) -> Result<&str, String> {
        self.maybe(key).ok_or_else(|| self.fault(key, "missing"))
    }

    fn figure(&self, key: &str) -> Result<Option<f64>, String> {
        let Some(text) = self.maybe(key) else {
            return Ok(None);
        };
        let figure = text.parse().ok().filter(|f: &f64| f.is_finite());
        figure
            .map(Some)
            .ok_or_else(|| self.fault(key, &format!("{text:?} is no number")))
    }

    /// A figure that counts something.
    fn amount(&self, key: &str) -> Result<Option<f64>, String> {
        match self.figure(key)? {
            Some(amount) if amount < 0.0 => Err(self.fault(key, "is below zero")),
            amount => Ok(amount),
        }
    }

    fn degrees(&self, key: &str, most: f64) -> Result<f64, String> {
        let degrees = self
            .figure(key)?
            .ok_or_else(|| self.fault(key, "missing"))?;
        if degrees.abs() > most {
            return Err(self.fault(key, &format!("{degrees} is beyond {most} degrees")));
        }
        Ok(degrees)
    }
}

type Rows = BTreeMap<&'static str, Vec<Row>>;

impl Inventory {
    /// Reads a YAML file, or a folder of CSV files.
    pub fn load(path: &Path) -> Result<Inventory, String> {
        let rows = if path.is_dir() {
            csv_rows(path)?
        } else {
            yaml_rows(path)?
        };
        check(&rows)
    }

    /// The contracts of its teams; `classes` are the names of the settings' classes.
    pub fn contracts(&self, classes: &[String]) -> Result<Vec<(String, Contract)>, String> {
        let contract = |team: &Team| {
            let index = |name: &String| {
                let found = classes.iter().position(|c| c == name);
                found.ok_or_else(|| {
                    format!(
                        "teams: {}: classes: no class {name:?} in the settings",
                        team.name
                    )
                })
            };
            let classes = team.classes.iter().map(index).collect::<Result<_, _>>()?;
            Ok((
                team.name.clone(),
                Contract {
                    classes,
                    rate: team.rate,
                    budget: team.budget,
                },
            ))
        };
        self.teams.iter().map(contract).collect()
    }
}

fn csv_rows(folder: &Path) -> Result<Rows, String> {
    let mut rows = Rows::new();
    for (kind, keys, needed) in KINDS {
        let path = folder.join(format!("{kind}.csv"));
        let file = path.display().to_string();
        if !needed && !path.exists() {
            continue;
        }
        let told = |e: csv::Error| {
            let line = e.position().map_or(0, csv::Position::line);
            format!("{file}:{line}: {e}")
        };
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_path(&path)
            .map_err(told)?;
        let head = reader.headers().map_err(told)?.clone();
        if let Some(key) = head.iter().find(|key| !keys.contains(key)) {
            return Err(format!(
                "{file}:1: {key}: no such column; there are {}",
                keys.join(", ")
            ));
        }
        for record in reader.records() {
            let record = record.map_err(told)?;
            let line = record.position().map_or(0, csv::Position::line);
            let values = head
                .iter()
                .zip(&record)
                .map(|(key, v)| (key.to_string(), (v.to_string(), line)));
            rows.entry(kind).or_default().push(Row {
                file: file.clone(),
                line,
                values: values.collect(),
            });
        }
    }
    Ok(rows)
}

type YamlRow = Spanned<BTreeMap<String, Spanned<String>>>;

fn yaml_rows(path: &Path) -> Result<Rows, String> {
    let file = path.display().to_string();
    let text = read_text(path)?;
    let read: BTreeMap<String, Spanned<Vec<YamlRow>>> =
        serde_saphyr::from_str(&text).map_err(|e| {
            let line = e.location().map_or(0, |l| l.line());
            format!(
                "{file}:{line}: {}",
                e.to_string().lines().next().unwrap_or_default()
            )
        })?;
    let mut rows = Rows::new();
    for (name, list) in read {
        let Some((kind, keys, _)) = KINDS.into_iter().find(|k| k.0 == name) else {
            let kinds = KINDS.map(|k| k.0).join(", ");
            return Err(format!(
                "{file}:{}: {name}: no such list; there are {kinds}",
                list.referenced.line()
            ));
        };
        for row in list.value {
            let line = row.referenced.line();
            let values = row
                .value
                .into_iter()
                .map(|(key, v)| (key, (v.value, v.referenced.line())));
            let row = Row {
                file: file.clone(),
                line,
                values: values.collect(),
            };
            if let Some(key) = row.values.keys().find(|key| !keys.contains(&key.as_str())) {
                return Err(row.fault(key, &format!("no such key; there are {}", keys.join(", "))));
            }
            rows.entry(kind).or_default().push(row);
        }
    }
    Ok(rows)
}

/// Checks all rows and puts them together.
fn check(rows: &Rows) -> Result<Inventory, String> {
    let none = Vec::new();
    for (kind, _, needed) in KINDS {
        let rows = rows.get(kind).unwrap_or(&none);
        if needed && rows.is_empty() {
            return Err(format!("inventory: {kind}: there are none"));
        }
        let mut seen = BTreeSet::new();
        for row in rows {
            let name = row.text("name")?;
            if !seen.insert(name) {
                return Err(row.fault("name", &format!("{name:?} is there twice")));
            }
        }
    }
    let rows = |kind| rows.get(kind).unwrap_or(&none).iter();
    let names = |kind| {
        rows(kind)
            .map(|r| Ok(r.text("name")?.to_string()))
            .collect::<Result<Vec<_>, String>>()
    };
    let mut inventory = Inventory {
        zones: names("zones")?,
        cells: names("cells")?,
        ..Inventory::default()
    };
    for row in rows("slices") {
        let bounds = [
            row.degrees("west", 180.0)?,
            row.degrees("south", 90.0)?,
            row.degrees("east", 180.0)?,
            row.degrees("north", 90.0)?,
        ];
        if bounds[0] >= bounds[2] {
            return Err(row.fault("east", "is not east of west"));
        }
        if bounds[1] >= bounds[3] {
            return Err(row.fault("north", "is not north of south"));
        }
        inventory.slices.push(Slice {
            name: row.text("name")?.into(),
            bounds,
        });
    }
    let mut addresses = BTreeSet::new();
    for row in rows("nodes") {
        let (cell, zone) = (row.text("cell")?, row.text("zone")?);
        let number = inventory.cells.iter().position(|c| c == cell);
        let number =
            number.ok_or_else(|| row.fault("cell", &format!("there is no cell {cell:?}")))?;
        if !inventory.zones.iter().any(|z| z == zone) {
            return Err(row.fault("zone", &format!("there is no zone {zone:?}")));
        }
        let address = row.text("address")?;
        let address = address.parse().map_err(|_| {
            row.fault(
                "address",
                &format!("{address:?} is no address of the form IP:PORT"),
            )
        })?;
        if !addresses.insert(address) {
            return Err(row.fault("address", &format!("{address} is there twice")));
        }
        let (name, zone, cell) = (row.text("name")?.into(), zone.into(), number as u32);
        inventory.nodes.push(Node {
            name,
            address,
            cell,
            zone,
        });
    }
    for row in rows("teams") {
        let classes = row
            .maybe("classes")
            .unwrap_or_default()
            .split('|')
            .map(str::trim);
        let rate = row.amount("rate")?;
        if rate == Some(0.0) {
            return Err(row.fault("rate", "must be above zero; leave it out for no limit"));
        }
        let (least, share) = (row.amount("attempts_least")?, row.amount("attempts_share")?);
        let window = row.amount("attempts_window_s")?;
        if least.is_none() && share.is_none() && window.is_some() {
            return Err(row.fault("attempts_window_s", "there is no budget for it"));
        }
        let window = (window.unwrap_or(10.0) * 1e6) as u64;
        let (least, share, told) = (
            least.unwrap_or(0.0),
            share.unwrap_or(0.0),
            least.is_some() || share.is_some(),
        );
        inventory.teams.push(Team {
            name: row.text("name")?.into(),
            classes: classes.filter(|c| !c.is_empty()).map(Into::into).collect(),
            rate,
            budget: told.then_some(Budget {
                window,
                least,
                share,
            }),
        });
    }
    Ok(inventory)
}

#[cfg(test)]
mod tests;
