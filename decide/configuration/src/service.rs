//! Services, as the operator describes them.

use crate::error::ConfigurationError;
use crate::json::Fields;
use miniserde::json::Value;

/// Path of the health check if the operator sets none.
const DEFAULT_HEALTH_CHECK_PATH: &str = "/health";

/// A service: a group of equivalent model servers that routes refer to by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, which is unique among the services.
    pub name: String,
    /// Path of the health check requests to its servers.
    pub health_check_path: String,
    /// Maximum number of connections to each of its servers, if set.
    pub max_connections: Option<u32>,
    /// Whether its servers use TLS.
    pub tls_enabled: bool,
    /// Number of requests that each of its servers processes concurrently, if set.
    pub capacity_slots: Option<u32>,
    /// Capacity of the cache of each of its servers (tokens), if set.
    pub kv_token_capacity: Option<u64>,
    /// Size of a cached token (bytes), if set.
    pub kv_token_bytes: Option<u64>,
    /// Names of the models that its servers may load.
    pub models: Vec<String>,
}

impl Service {
    /// Parses an item of `services`. Missing and `null` fields get their default.
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

/// Returns the names of the items of `models`. Items without a name are ignored, since nothing
/// needs them.
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
