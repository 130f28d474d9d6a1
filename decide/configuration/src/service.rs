//! A service of model servers, as the operator describes it.

use crate::error::ConfigurationError;
use crate::json::Fields;
use miniserde::json::Value;

/// Path of the health check where the operator names none.
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";

/// A service of model servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of the health check at its servers.
    pub health_check_path: String,
    /// Connections that each of its servers takes, where that is told.
    pub max_connections: Option<u32>,
    /// Whether its servers speak TLS.
    pub tls_enabled: bool,
    /// Requests that each of its servers works on at the same time, where that is told.
    pub capacity_slots: Option<u32>,
    /// Tokens that the cache of each of its servers holds, where that is told.
    pub kv_token_capacity: Option<u64>,
    /// Bytes of a cached token, where that is told.
    pub kv_token_bytes: Option<u64>,
    /// Names of the models that its servers may hold.
    pub models: Vec<String>,
}

impl Service {
    /// Of an item of `services`.
    pub(crate) fn parse(name: &str, value: &Value) -> Result<Service, ConfigurationError> {
        let fields = Fields::new(format!("service `{name}`"), value)?;
        let engine = fields.get("engine");
        let engine = engine
            .map(|value| Fields::new(format!("engine of service `{name}`"), value))
            .transpose()?;
        let engine = engine.as_ref();
        let path = fields
            .text("healthCheckPath")?
            .filter(|path| !path.is_empty());
        Ok(Service {
            name: name.to_owned(),
            health_check_path: path.unwrap_or(DEFAULT_HEALTH_CHECK_PATH).to_owned(),
            max_connections: fields.count_u32("maxConnections")?,
            tls_enabled: fields.flag("tlsEnabled")?,
            capacity_slots: engine.map_or(Ok(None), |engine| engine.count_u32("capacitySlots"))?,
            kv_token_capacity: engine.map_or(Ok(None), |engine| engine.count("kvTokenCapacity"))?,
            kv_token_bytes: engine.map_or(Ok(None), |engine| engine.count("kvTokenBytes"))?,
            models: engine.map_or(Ok(Vec::new()), models)?,
        })
    }
}

/// The names under `models`; those without a name are passed over, as nothing here needs them.
fn models(engine: &Fields<'_>) -> Result<Vec<String>, ConfigurationError> {
    let list = engine.list("models")?.unwrap_or_default();
    Ok(list.iter().filter_map(model_name).collect())
}

fn model_name(model: &Value) -> Option<String> {
    let Value::Object(model) = model else {
        return None;
    };
    match model.get("name") {
        Some(Value::String(name)) => Some(name.clone()),
        _ => None,
    }
}
