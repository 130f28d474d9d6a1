//! A service of model servers, as the operator describes it.

use crate::error::ConfigurationError;
use crate::json::Fields;
use miniserde::json::Value;

/// Path of the health check where the operator sets none.
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";

/// A service of model servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of the health check at its servers.
    pub health_check_path: String,
    /// Connections that each of its servers accepts, if set.
    pub max_connections: Option<u32>,
    /// Whether its servers use TLS.
    pub tls_enabled: bool,
    /// Requests that each of its servers processes concurrently, if set.
    pub capacity_slots: Option<u32>,
    /// Tokens that the cache of each of its servers holds, if set.
    pub kv_token_capacity: Option<u64>,
    /// Bytes of a cached token, if set.
    pub kv_token_bytes: Option<u64>,
    /// Names of the models that its servers may load.
    pub models: Vec<String>,
}

impl Service {
    /// Parses an item of `services`.
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
            models: engine.map_or(Ok(Vec::new()), model_names)?,
        })
    }
}

/// The names of the items of `models`; items without a name are ignored, since nothing needs them.
fn model_names(engine: &Fields<'_>) -> Result<Vec<String>, ConfigurationError> {
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
