//! The section `phases` of the operators' file: for which classes queries of two phases are planned,
//! and by which rules.

use super::operators::OperatorsError;
use super::operators_file::ClassFile;
use super::value_error::ValueError;
use super::{Collection, Operators};
use crate::contract::Contract;
use crate::decide::phases::Rules;
use crate::interface::{Class, Settings};
use serde_saphyr::Spanned;

/// How queries of two phases are planned, by class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Phases {
    /// The rules of each class, by index; `None`: not planned.
    pub rules: Vec<Option<Rules>>,
    /// Whether the planner's reasons are logged.
    pub explain: bool,
}

impl Operators {
    /// The rules for two phases of these classes. What the first phase may take of the latency target
    /// goes into the settings.
    ///
    /// # Errors
    /// When an entry names no class of two phases, or one of its values is out of bounds.
    pub fn phases(
        &self,
        classes: &[String],
        settings: &mut Settings,
    ) -> Result<Phases, OperatorsError> {
        let Some(section) = &self.phases else {
            return Ok(Phases::default());
        };
        let mut rules: Vec<Option<Rules>> = vec![None; classes.len()];
        for entry in &section.classes {
            let name = &entry.class;
            let index = self.class_index(name, classes)?;
            if rules[index].is_some() {
                let reason = ValueError::Repeated(name.value.clone());
                return Err(self.invalid(name, "class", reason));
            }
            let class = &mut settings.classes[index];
            if class.second_step == 0 {
                // The OGC front has two steps in every class.
                if self.ogc.as_ref().is_some_and(|ogc| ogc.listen.is_some()) {
                    continue;
                }
                let reason = ValueError::NoSecondPhase(name.value.clone());
                return Err(self.invalid(name, "class", reason));
            }
            rules[index] = Some(self.rules_of(Some(entry), class)?);
        }
        Ok(Phases {
            rules,
            explain: section.explain,
        })
    }

    /// Adds, for each class in which the OGC front reads collections, a class of two phases for
    /// sorted answers, with its rules. Teams that may use the one may use the other.
    ///
    /// # Errors
    /// When an entry names no class, or one of its values is out of bounds.
    pub(super) fn add_sorted_classes(
        &self,
        classes: &[String],
        settings: &mut Settings,
        collections: &mut [Collection],
        contracts: &mut [(String, Contract)],
    ) -> Result<Phases, OperatorsError> {
        let section = self.phases.as_ref();
        let entries = section.map_or(&[][..], |section| &section.classes);
        for entry in entries {
            self.class_index(&entry.class, classes)?;
        }
        let mut rules: Vec<Option<Rules>> = vec![None; settings.classes.len()];
        for (index, name) in classes.iter().enumerate() {
            if !collections.iter().any(|c| c.class == index) {
                continue;
            }
            let mut class = Class {
                second_step: settings.layout.shards,
                ..settings.classes[index].clone()
            };
            let entry = entries.iter().find(|entry| entry.class.value == *name);
            rules.push(Some(self.rules_of(entry, &mut class)?));
            let sorted = settings.classes.len();
            settings.classes.push(class);
            for collection in collections.iter_mut().filter(|c| c.class == index) {
                collection.sorted = sorted;
            }
            for (_, contract) in contracts.iter_mut() {
                if contract.classes.contains(&index) {
                    contract.classes.push(sorted);
                }
            }
        }
        Ok(Phases {
            rules,
            explain: section.is_some_and(|section| section.explain),
        })
    }

    /// The rules of a class, from its entry or by default. Its share of the latency target for the
    /// first phase goes into the class.
    fn rules_of(
        &self,
        entry: Option<&ClassFile>,
        class: &mut Class,
    ) -> Result<Rules, OperatorsError> {
        let value = |field: fn(&ClassFile) -> &Option<Spanned<f64>>| {
            entry.and_then(|entry| field(entry).as_ref())
        };
        class.first_share =
            self.share(value(|e| &e.first_share), "first_share", class.first_share)?;
        let default = Rules::of(class);
        let probability = value(|e| &e.probability);
        Ok(Rules {
            probability: self.share(probability, "probability", default.probability)?,
            prune: entry.and_then(|e| e.prune).unwrap_or(default.prune),
            least_gain: self.share(value(|e| &e.least_gain), "least_gain", default.least_gain)?,
            ..default
        })
    }

    /// A share between 0 and 1.
    fn share(
        &self,
        value: Option<&Spanned<f64>>,
        key: &str,
        default: f64,
    ) -> Result<f64, OperatorsError> {
        let Some(value) = value else {
            return Ok(default);
        };
        if value.value > 0.0 && value.value < 1.0 {
            return Ok(value.value);
        }
        Err(self.invalid(value, key, ValueError::NotAShare(value.value)))
    }
}
