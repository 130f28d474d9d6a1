//! Reads the settings of an instance from their JSON text, for the broker and the simulation alike.

use super::Connections;
use crate::interface::{
    Budget, Class, Discovery, Layout, Limits, Micros, RetrySafety, Settings, SlowStart, FIRST_SHARE,
};
use serde::Deserialize;
use thiserror::Error;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// They are no JSON of the right form.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A class has no name.
    #[error("settings: classes[{0}].name is missing")]
    UnnamedClass(usize),
    /// There is no class.
    #[error("settings: no classes")]
    NoClasses,
    /// There are no cells, or no shard is held anywhere.
    #[error("settings: sets and width must be above 0")]
    EmptyLayout,
    /// A list that has an entry for each class lacks one.
    #[error("settings: familyInfo lacks class {0}")]
    MissingClass(usize),
    /// A number is below zero or not finite.
    #[error("settings: {key} is {value}")]
    Number {
        /// The key.
        key: &'static str,
        /// The number.
        value: f64,
    },
    /// A word that the settings don't know.
    #[error("settings: unknown {key} {value:?}")]
    UnknownWord {
        /// The key.
        key: &'static str,
        /// The word.
        value: String,
    },
}

/// An attempt may wait so long for a descriptor and a turn beside its connection (microseconds).
const MAX_DESCRIPTOR_WAIT: Micros = 100_000;
/// The rule on drains where the settings don't give it (microseconds).
const STOP_WITHIN: Micros = 2_000_000;

/// The settings as they are written; the keys are the platform's.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Facts {
    #[serde(default)]
    allowed: Allowed,
    classes: Vec<ClassFacts>,
    #[serde(default)]
    clients: Clients,
    discovery: String,
    family_info: FamilyInfo,
    #[serde(default)]
    peers_total: u32,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    resolution_us: u64,
    #[serde(default)]
    rules: Rules,
    #[serde(default)]
    tenants: Vec<TenantFacts>,
    #[serde(default)]
    worth_by: String,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantFacts {
    #[serde(default)]
    name: String,
    quota_per_s: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Clients {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "permissions of the settings, each with its key"
)]
struct Allowed {
    max_attempts: u32,
    most_held: u32,
    may_cancel: bool,
    may_probe: bool,
    second_copies: bool,
    retry_after: bool,
    max_retry_after_us: u64,
    max_streams: usize,
    connect_timeout_us: u64,
    conn_idle_us: u64,
}

impl Default for Allowed {
    fn default() -> Self {
        let limits = Settings::default().limits;
        Allowed {
            max_attempts: limits.attempts,
            most_held: limits.max_held,
            may_cancel: limits.may_cancel,
            may_probe: limits.may_probe,
            second_copies: limits.second_copies,
            retry_after: false,
            max_retry_after_us: 0,
            max_streams: 1,
            connect_timeout_us: 250_000,
            conn_idle_us: 30_000_000,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassFacts {
    #[serde(default)]
    name: String,
    objective_us: u64,
    deadline_us: u64,
    idempotency: String,
    #[serde(default)]
    window_us: u64,
    gain: f64,
    #[serde(default)]
    late_share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    parts_a_call: u32,
    sets: u32,
    width: u32,
    #[serde(default)]
    shards: Option<u32>,
    class_fetch: Vec<u32>,
    class_partial: Vec<f64>,
    min_share: Vec<f64>,
    need_by_class: Vec<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    ask_every_us: u64,
    cold_share: f64,
    cold_us: u64,
    fall_multiple: f64,
    fall_us: u64,
    stop_sending_within_us: u64,
    min_extra: Option<f64>,
    further_ratio: Option<f64>,
    budget_span_us: Option<u64>,
}

impl Default for Rules {
    fn default() -> Self {
        let cold = Settings::default().slow_start;
        Rules {
            ask_every_us: 0,
            cold_share: cold.share,
            cold_us: cold.warm_after,
            fall_multiple: cold.fall_multiple,
            fall_us: cold.fall_after,
            stop_sending_within_us: STOP_WITHIN,
            min_extra: None,
            further_ratio: None,
            budget_span_us: None,
        }
    }
}

/// A number that can't be below zero (JSON text holds none that is not finite).
fn number(value: f64, key: &'static str) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(SettingsError::Number { key, value })
    }
}

/// The settings with what the broker needs besides the module.
pub struct Site {
    /// The module's settings.
    pub settings: Settings,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Connections to data nodes.
    pub connections: Connections,
    /// Names of the tenants, in the order of the module's quotas.
    pub tenants: Vec<String>,
    /// Within this after a node was listed as draining or gone, nothing new goes there
    /// (microseconds).
    pub stop_within: Micros,
}

impl Site {
    /// Reads the JSON text of the settings; the broker can't do without the names of the classes.
    ///
    /// # Errors
    /// The text is no JSON of the right form, or what is wrong with a key.
    pub fn parse(text: &[u8]) -> Result<Site, SettingsError> {
        let facts: Facts = serde_json::from_slice(text)?;
        let mut settings = module(&facts)?;
        if let Some(i) = facts.classes.iter().position(|c| c.name.is_empty()) {
            return Err(SettingsError::UnnamedClass(i));
        }
        let allowed = &facts.allowed;
        let connections = Connections {
            max_streams: allowed.max_streams.max(1),
            connect_timeout: allowed.connect_timeout_us,
            idle_timeout: allowed.conn_idle_us,
        };
        // Guards the rule on repeats: the window counts to when an attempt leaves, and what the
        // module sends may wait for a connection first.
        for class in &mut settings.classes {
            if let RetrySafety::Keyed(window) = &mut class.retry_safety {
                *window = window.saturating_sub(allowed.connect_timeout_us + MAX_DESCRIPTOR_WAIT);
            }
        }
        let classes = facts.classes.into_iter().map(|c| c.name).collect();
        let tenants = facts.tenants.into_iter().map(|t| t.name).collect();
        let stop_within = facts.rules.stop_sending_within_us;
        Ok(Site {
            settings,
            classes,
            zones: facts.zones,
            connections,
            tenants,
            stop_within,
        })
    }
}

/// Turns the JSON text of the settings into the module's.
///
/// # Errors
/// The text is no JSON of the right form, or what is wrong with a key.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    module(&serde_json::from_slice(text)?)
}

/// The module's settings, checked.
fn module(facts: &Facts) -> Result<Settings, SettingsError> {
    let (family, rules) = (&facts.family_info, &facts.rules);
    if family.sets == 0 || family.width == 0 {
        return Err(SettingsError::EmptyLayout);
    }
    if facts.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let classes = facts.classes.iter().enumerate();
    let classes = classes
        .map(|(i, facts)| class(i, facts, family))
        .collect::<Result<_, _>>()?;
    let limits = limits(&facts.allowed, budget(rules)?);
    let quotas = facts.tenants.iter();
    let quotas = quotas
        .map(|tenant| number(tenant.quota_per_s, "quotaPerS"))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        limits,
        layout: layout(family),
        discovery: discovery(&facts.discovery, rules.ask_every_us)?,
        slow_start: slow_start(rules)?,
        zone: facts.zone,
        resolution: facts.resolution_us,
        marks_retry: facts.clients.marks_retry,
        worth_by_work: facts.worth_by == "work",
        instances: facts.peers_total.max(1),
        quotas,
        over_quota: number(facts.over_share_worth.unwrap_or(1.0), "overShareWorth")?,
    })
}

fn limits(allowed: &Allowed, budget: Option<Budget>) -> Limits {
    Limits {
        attempts: allowed.max_attempts,
        max_held: allowed.most_held,
        may_cancel: allowed.may_cancel,
        may_probe: allowed.may_probe,
        second_copies: allowed.second_copies,
        retry_after: allowed.retry_after.then_some(allowed.max_retry_after_us),
        budget,
    }
}

fn layout(family: &FamilyInfo) -> Layout {
    Layout {
        cells: family.sets,
        width: family.width,
        shards: family.shards.unwrap_or(u32::MAX),
        parts_a_call: family.parts_a_call.max(1),
    }
}

fn slow_start(rules: &Rules) -> Result<SlowStart, SettingsError> {
    Ok(SlowStart {
        share: number(rules.cold_share, "coldShare")?,
        warm_after: rules.cold_us,
        fall_multiple: number(rules.fall_multiple, "fallMultiple")?,
        fall_after: rules.fall_us,
    })
}

fn class(i: usize, facts: &ClassFacts, family: &FamilyInfo) -> Result<Class, SettingsError> {
    let of_class = |list: &[f64], key| {
        let value = list.get(i).ok_or(SettingsError::MissingClass(i))?;
        number(*value, key)
    };
    let repeat = repeat(facts)?;
    Ok(Class {
        latency_target: facts.objective_us,
        deadline: facts.deadline_us,
        retry_safety: repeat,
        value: number(facts.gain, "gain")?,
        late_share: number(facts.late_share, "lateShare")?,
        need: of_class(&family.need_by_class, "needByClass")?,
        floor: of_class(&family.min_share, "minShare")?,
        partial: of_class(&family.class_partial, "classPartial")?,
        second_step: *family
            .class_fetch
            .get(i)
            .ok_or(SettingsError::MissingClass(i))?,
        first_share: FIRST_SHARE,
        attempts: None,
    })
}

fn repeat(facts: &ClassFacts) -> Result<RetrySafety, SettingsError> {
    match facts.idempotency.as_str() {
        "retryable" => Ok(RetrySafety::Safe),
        "dedup" => Ok(RetrySafety::Keyed(facts.window_us)),
        "fragile" => Ok(RetrySafety::Unsafe),
        other => Err(SettingsError::UnknownWord {
            key: "idempotency",
            value: other.into(),
        }),
    }
}

fn budget(rules: &Rules) -> Result<Option<Budget>, SettingsError> {
    let least = number(rules.min_extra.unwrap_or(0.0), "minExtra")?;
    let share = number(rules.further_ratio.unwrap_or(0.0), "furtherRatio")?;
    Ok(rules.budget_span_us.map(|window| Budget {
        window,
        min_retries: least,
        share,
    }))
}

fn discovery(word: &str, ask_every_us: u64) -> Result<Discovery, SettingsError> {
    match word {
        "automatic" => Ok(Discovery::Push),
        "subscribe" => Ok(Discovery::Ask(ask_every_us)),
        other => Err(SettingsError::UnknownWord {
            key: "discovery",
            value: other.into(),
        }),
    }
}
