//! The operators' file, `deploy/lichenswitch.yaml`: what the platform does not tell. Each section
//! is off when it is absent, and so is all when the file is.

use super::ogc::OgcFile;
use super::peers::PeersFile;
use super::Collection;
use crate::contract::Contract;
use crate::decide::phases::Rules;
use crate::interface::{Class, Settings};
use crate::inventory::{read_text, ReadError};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::path::{Path, PathBuf};

/// The file, from the root; `LICHENSWITCH_CONFIG` names another.
const FILE: &str = "deploy/lichenswitch.yaml";

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    ogc: Option<OgcFile>,
    #[serde(default)]
    phases: Option<PhasesFile>,
    #[serde(default)]
    peers: Option<PeersFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PhasesFile {
    #[serde(default)]
    explain: bool,
    #[serde(default)]
    classes: Vec<PhasesClass>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PhasesClass {
    class: Spanned<String>,
    #[serde(default)]
    probability: Option<Spanned<f64>>,
    #[serde(default)]
    first_share: Option<Spanned<f64>>,
    #[serde(default)]
    prune: Option<bool>,
    #[serde(default)]
    least_gain: Option<Spanned<f64>>,
}

/// How queries of two phases are planned, by class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Phases {
    /// The rules of each class, by index; `None`: not planned.
    pub rules: Vec<Option<Rules>>,
    /// Whether the planner's reasons are logged.
    pub explain: bool,
}

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
        reason: String,
    },
}

/// The operators' file, read and of the right form.
#[derive(Default)]
pub struct Operators {
    pub(super) path: PathBuf,
    pub(super) ogc: Option<OgcFile>,
    pub(super) peers: Option<PeersFile>,
    phases: Option<PhasesFile>,
}

impl Operators {
    /// Reads the file; without one, all sections are off. One that the environment names has to be
    /// there.
    pub fn from_env(env: impl Fn(&str) -> Option<String>) -> Result<Operators, OperatorsError> {
        let told = env("LICHENSWITCH_CONFIG").map(PathBuf::from);
        let path = told.clone().unwrap_or_else(|| FILE.into());
        if told.is_none() && !path.exists() {
            return Ok(Operators::default());
        }
        Operators::load(&path)
    }

    /// Reads the file. Paths in it start from its folder.
    pub fn load(path: &Path) -> Result<Operators, OperatorsError> {
        let text = read_text(path)?;
        // A file of comments alone is an empty one.
        let empty = text
            .lines()
            .all(|l| l.trim().is_empty() || l.trim_start().starts_with('#'));
        let read: File = if empty {
            File::default()
        } else {
            serde_saphyr::from_str(&text).map_err(|e| OperatorsError::Syntax {
                path: path.into(),
                line: e.location().map_or(0, |l| l.line()),
                reason: e.to_string().lines().next().unwrap_or_default().into(),
            })?
        };
        Ok(Operators {
            path: path.into(),
            ogc: read.ogc,
            peers: read.peers,
            phases: read.phases,
        })
    }

    /// The error that the value of a key in a line of the file is wrong; line 0: it is missing.
    pub(super) fn fault(&self, line: u64, key: &str, reason: &str) -> OperatorsError {
        OperatorsError::Value {
            path: self.path.clone(),
            line,
            key: key.into(),
            reason: reason.into(),
        }
    }

    /// A share, checked.
    fn share(
        &self,
        told: Option<&Spanned<f64>>,
        key: &str,
        otherwise: f64,
    ) -> Result<f64, OperatorsError> {
        let Some(told) = told else {
            return Ok(otherwise);
        };
        if told.value > 0.0 && told.value < 1.0 {
            return Ok(told.value);
        }
        Err(self.fault(
            told.referenced.line(),
            key,
            &format!("{} is not between 0 and 1", told.value),
        ))
    }

    /// The rules for two phases of these classes; what they may take of the aim goes into the
    /// settings.
    pub fn phases(
        &self,
        classes: &[String],
        settings: &mut Settings,
    ) -> Result<Phases, OperatorsError> {
        let Some(told) = &self.phases else {
            return Ok(Phases::default());
        };
        let mut rules: Vec<Option<Rules>> = vec![None; classes.len()];
        for entry in &told.classes {
            let (name, line) = (&entry.class.value, entry.class.referenced.line());
            let i = classes.iter().position(|c| c == name);
            let i =
                i.ok_or_else(|| self.fault(line, "class", &format!("there is no class {name:?}")))?;
            if rules[i].is_some() {
                return Err(self.fault(line, "class", &format!("{name:?} is there twice")));
            }
            let class = &mut settings.classes[i];
            if class.second_step == 0 {
                // The OGC front has two steps in every class.
                if self.ogc.as_ref().is_some_and(|ogc| ogc.listen.is_some()) {
                    continue;
                }
                return Err(self.fault(line, "class", &format!("{name:?} has no second phase")));
            }
            rules[i] = Some(self.rules(Some(entry), class)?);
        }
        Ok(Phases {
            rules,
            explain: told.explain,
        })
    }

    /// The rules of a class, from its entry or by default; its share of the aim goes into the
    /// settings.
    fn rules(
        &self,
        entry: Option<&PhasesClass>,
        class: &mut Class,
    ) -> Result<Rules, OperatorsError> {
        let told =
            |pick: fn(&PhasesClass) -> &Option<Spanned<f64>>| entry.and_then(|e| pick(e).as_ref());
        class.first_share =
            self.share(told(|e| &e.first_share), "first_share", class.first_share)?;
        let usual = Rules::of(class);
        Ok(Rules {
            probability: self.share(told(|e| &e.probability), "probability", usual.probability)?,
            prune: entry.and_then(|e| e.prune).unwrap_or(usual.prune),
            least_gain: self.share(told(|e| &e.least_gain), "least_gain", usual.least_gain)?,
            ..usual
        })
    }

    /// Adds, for each class that the OGC front reads collections under, one of two steps for sorted
    /// answers, with its rules; teams that may use the one may use the other.
    pub(super) fn sorted(
        &self,
        classes: &[String],
        settings: &mut Settings,
        collections: &mut [Collection],
        contracts: &mut [(String, Contract)],
    ) -> Result<Phases, OperatorsError> {
        let entries = self.phases.as_ref().map_or(&[][..], |told| &told.classes);
        if let Some(e) = entries.iter().find(|e| !classes.contains(&e.class.value)) {
            let why = format!("there is no class {:?}", e.class.value);
            return Err(self.fault(e.class.referenced.line(), "class", &why));
        }
        let mut rules: Vec<Option<Rules>> = vec![None; settings.classes.len()];
        for (i, name) in classes.iter().enumerate() {
            if !collections.iter().any(|c| c.class == i) {
                continue;
            }
            let mut class = Class {
                second_step: settings.layout.shards,
                ..settings.classes[i].clone()
            };
            let entry = entries.iter().find(|e| e.class.value == *name);
            rules.push(Some(self.rules(entry, &mut class)?));
            let sorted = settings.classes.len();
            settings.classes.push(class);
            collections
                .iter_mut()
                .filter(|c| c.class == i)
                .for_each(|c| c.sorted = sorted);
            let uses = contracts.iter_mut().filter(|(_, c)| c.classes.contains(&i));
            uses.for_each(|(_, c)| c.classes.push(sorted));
        }
        Ok(Phases {
            rules,
            explain: self.phases.as_ref().is_some_and(|told| told.explain),
        })
    }
}
