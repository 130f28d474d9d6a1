//! The operators' file as it is written: its keys, each with the line of its value. Nothing is checked
//! here but the form.

use serde::Deserialize;
use serde_saphyr::Spanned;
use std::path::PathBuf;

/// All of the file.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorsFile {
    #[serde(default)]
    pub(super) ogc: Option<OgcFile>,
    #[serde(default)]
    pub(super) phases: Option<PhasesFile>,
    #[serde(default)]
    pub(super) peers: Option<PeersFile>,
}

/// The section `ogc`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OgcFile {
    pub(super) listen: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) title: Option<String>,
    #[serde(default)]
    pub(super) inventory: Option<Spanned<PathBuf>>,
    #[serde(default)]
    pub(super) settings: Option<Spanned<PathBuf>>,
    #[serde(default)]
    pub(super) replicas: Option<Spanned<u32>>,
    #[serde(default)]
    pub(super) zone: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) collections: Vec<CollectionFile>,
}

/// A collection of the section `ogc`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CollectionFile {
    pub(super) id: Spanned<String>,
    #[serde(default)]
    pub(super) title: Option<String>,
    pub(super) class: Spanned<String>,
    #[serde(default)]
    pub(super) wait_ms: Option<Spanned<u64>>,
}

/// The section `peers`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeersFile {
    pub(super) cluster: Spanned<String>,
    pub(super) listen: Spanned<String>,
    #[serde(default)]
    pub(super) advertise: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) name: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) zone: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) known: Vec<KnownFile>,
    #[serde(default)]
    pub(super) probe_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub(super) suspicion_ms: Option<Spanned<u64>>,
    #[serde(default)]
    pub(super) voters: Vec<Spanned<String>>,
    #[serde(default)]
    pub(super) folder: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) duties: Vec<Spanned<String>>,
    #[serde(default)]
    pub(super) lease_ms: Option<Spanned<u64>>,
}

/// A broker that the section `peers` names.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KnownFile {
    pub(super) name: Spanned<String>,
    pub(super) address: Spanned<String>,
    #[serde(default)]
    pub(super) zone: Option<Spanned<String>>,
}

/// The section `phases`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PhasesFile {
    #[serde(default)]
    pub(super) explain: bool,
    #[serde(default)]
    pub(super) classes: Vec<ClassFile>,
}

/// A class of the section `phases`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassFile {
    pub(super) class: Spanned<String>,
    #[serde(default)]
    pub(super) probability: Option<Spanned<f64>>,
    #[serde(default)]
    pub(super) first_share: Option<Spanned<f64>>,
    #[serde(default)]
    pub(super) prune: Option<bool>,
    #[serde(default)]
    pub(super) least_gain: Option<Spanned<f64>>,
}
