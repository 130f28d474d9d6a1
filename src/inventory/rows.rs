//! Rows of an inventory, read from YAML or from CSV, with the line of each value.

use super::{read_text, InventoryError};
use serde_saphyr::Spanned;
use std::collections::BTreeMap;
use std::path::Path;

/// A kind of rows.
pub(super) struct Kind {
    /// Its name: of the list in YAML, of the file in CSV.
    pub(super) name: &'static str,
    /// Its keys.
    keys: &'static [&'static str],
    /// Whether there must be any.
    pub(super) is_required: bool,
}

/// All kinds of rows.
pub(super) const KINDS: [Kind; 5] = [
    required("zones", &["name"]),
    required("cells", &["name"]),
    required("slices", &["name", "west", "south", "east", "north"]),
    required("nodes", &["name", "address", "cell", "zone"]),
    Kind {
        name: "teams",
        keys: &[
            "name",
            "classes",
            "rate",
            "attempts_least",
            "attempts_share",
            "attempts_window_s",
        ],
        is_required: false,
    },
];

const fn required(name: &'static str, keys: &'static [&'static str]) -> Kind {
    Kind {
        name,
        keys,
        is_required: true,
    }
}

/// A value and the line that it stands in.
struct Value {
    text: String,
    line: u64,
}

/// One row of either format.
pub(super) struct Row {
    file: String,
    line: u64,
    values: BTreeMap<String, Value>,
}

/// Rows by kind.
pub(super) type Rows = BTreeMap<&'static str, Vec<Row>>;

impl Row {
    /// The error that names a key of this row.
    pub(super) fn error(&self, key: &str, reason: impl Into<String>) -> InventoryError {
        InventoryError::Value {
            file: self.file.clone(),
            line: self.values.get(key).map_or(self.line, |value| value.line),
            key: key.into(),
            reason: reason.into(),
        }
    }

    /// The value of a key that may be left out or empty.
    pub(super) fn optional(&self, key: &str) -> Option<&str> {
        self.values
            .get(key)
            .map(|value| value.text.trim())
            .filter(|text| !text.is_empty())
    }

    pub(super) fn text(&self, key: &str) -> Result<&str, InventoryError> {
        self.optional(key).ok_or_else(|| self.error(key, "missing"))
    }

    fn number(&self, key: &str) -> Result<Option<f64>, InventoryError> {
        let Some(text) = self.optional(key) else {
            return Ok(None);
        };
        let number = text.parse().ok().filter(|f: &f64| f.is_finite());
        number
            .map(Some)
            .ok_or_else(|| self.error(key, format!("{text:?} is no number")))
    }

    /// A number that counts something: not below zero.
    pub(super) fn amount(&self, key: &str) -> Result<Option<f64>, InventoryError> {
        match self.number(key)? {
            Some(amount) if amount < 0.0 => Err(self.error(key, "is below zero")),
            amount => Ok(amount),
        }
    }

    /// An angle between `-most` and `most`.
    pub(super) fn degrees(&self, key: &str, most: f64) -> Result<f64, InventoryError> {
        let degrees = self
            .number(key)?
            .ok_or_else(|| self.error(key, "missing"))?;
        if degrees.abs() > most {
            return Err(self.error(key, format!("{degrees} is beyond {most} degrees")));
        }
        Ok(degrees)
    }
}

/// Reads a folder with a CSV file for each kind.
pub(super) fn read_csv(folder: &Path) -> Result<Rows, InventoryError> {
    let mut rows = Rows::new();
    for kind in KINDS {
        let path = folder.join(format!("{}.csv", kind.name));
        if kind.is_required || path.exists() {
            rows.insert(kind.name, read_csv_file(&kind, &path)?);
        }
    }
    Ok(rows)
}

fn read_csv_file(kind: &Kind, path: &Path) -> Result<Vec<Row>, InventoryError> {
    let file = path.display().to_string();
    let line_of = |position: Option<&csv::Position>| position.map_or(0, csv::Position::line);
    let syntax = |error: csv::Error| InventoryError::Syntax {
        file: file.clone(),
        line: line_of(error.position()),
        reason: error.to_string(),
    };
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_path(path)
        .map_err(syntax)?;
    let head = reader.headers().map_err(syntax)?.clone();
    if let Some(key) = head.iter().find(|key| !kind.keys.contains(key)) {
        return Err(InventoryError::Value {
            file: file.clone(),
            line: 1,
            key: key.into(),
            reason: format!("no such column; there are {}", kind.keys.join(", ")),
        });
    }
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = record.map_err(syntax)?;
        let line = line_of(record.position());
        let value = |text: &str| Value {
            text: text.into(),
            line,
        };
        let values = head
            .iter()
            .zip(&record)
            .map(|(key, text)| (key.to_string(), value(text)));
        rows.push(Row {
            file: file.clone(),
            line,
            values: values.collect(),
        });
    }
    Ok(rows)
}

type YamlRow = Spanned<BTreeMap<String, Spanned<String>>>;

/// Reads a YAML file with a list for each kind.
pub(super) fn read_yaml(path: &Path) -> Result<Rows, InventoryError> {
    let file = path.display().to_string();
    let text = read_text(path)?;
    let lists: BTreeMap<String, Spanned<Vec<YamlRow>>> =
        serde_saphyr::from_str(&text).map_err(|error| InventoryError::Syntax {
            file: file.clone(),
            line: error.location().map_or(0, |location| location.line()),
            reason: error.to_string().lines().next().unwrap_or_default().into(),
        })?;
    let mut rows = Rows::new();
    for (name, list) in lists {
        let Some(kind) = KINDS.into_iter().find(|kind| kind.name == name) else {
            let kinds = KINDS.map(|kind| kind.name).join(", ");
            return Err(InventoryError::Value {
                file,
                line: list.referenced.line(),
                key: name,
                reason: format!("no such list; there are {kinds}"),
            });
        };
        let read = list
            .value
            .into_iter()
            .map(|row| yaml_row(&kind, &file, row));
        rows.insert(kind.name, read.collect::<Result<_, _>>()?);
    }
    Ok(rows)
}

fn yaml_row(kind: &Kind, file: &str, row: YamlRow) -> Result<Row, InventoryError> {
    let line = row.referenced.line();
    let value = |value: Spanned<String>| Value {
        line: value.referenced.line(),
        text: value.value,
    };
    let values = row.value.into_iter().map(|(key, v)| (key, value(v)));
    let row = Row {
        file: file.into(),
        line,
        values: values.collect(),
    };
    let known = |key: &&String| !kind.keys.contains(&key.as_str());
    match row.values.keys().find(known) {
        Some(key) => {
            let keys = kind.keys.join(", ");
            Err(row.error(key, format!("no such key; there are {keys}")))
        }
        None => Ok(row),
    }
}
