//! Parsing of a settings file into [`Settings`], with the defaults of all optional fields.

use super::error::{FieldErrors, SettingsError};
use super::fields::Fields;
use super::model::{Bounds, FaultTolerance, Limits, ListenAddresses, PortRange, Settings};
use std::net::IpAddr;
use std::path::Path;

impl Settings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or [`Settings::parse`] rejects its text.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Parses the text of a settings file. Unknown fields are ignored.
    ///
    /// # Errors
    /// Returns an error if the text is not TOML, or if fields are missing or invalid. The error
    /// names all of these fields.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let table: toml::Table = text
            .parse()
            .map_err(|e| SettingsError::Syntax(Box::new(e)))?;
        let mut fields = Fields::new(&table);
        let settings = read_settings(&mut fields);
        let errors = fields.into_errors();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Fields(FieldErrors(errors)))
        }
    }
}

fn read_settings(fields: &mut Fields<'_>) -> Settings {
    let internal_port_range = port_range(fields, "internalPortRange");
    let unspecified = IpAddr::from([0, 0, 0, 0]);
    Settings {
        node_name: fields.required("nodeName"),
        role: fields.optional("role").unwrap_or_default(),
        ip_address: fields.required_or("ipAddress", unspecified),
        zone: fields.required("zone"),
        region: fields.optional("region").unwrap_or_default(),
        internal_port_range,
        seed_nodes: fields.required("seedNodes"),
        is_first_start: fields.optional("firstStart").unwrap_or(false),
        is_loss_counted: fields.optional("lossCounted").unwrap_or(false),
        data_directory: fields.optional("dataDirectory"),
        heartbeat_interval: fields.milliseconds("heartbeatIntervalMs", 1_200),
        zones: fields.optional("zones").unwrap_or_default(),
        listen_addresses: fields.table("listenAddresses", listen_addresses),
        forwarders: fields.optional("forwarders").unwrap_or_default(),
        limits: fields.table("limits", limits),
        fault_tolerance: fields.table("faultTolerance", fault_tolerance),
        bounds: fields.table("bounds", bounds),
    }
}

fn port_range(fields: &mut Fields<'_>, key: &str) -> PortRange {
    let ports: Vec<u16> = fields.required(key);
    match ports[..] {
        [first, last] if 0 < first && first <= last => PortRange { first, last },
        _ => {
            fields.report(key, "must be two ports, the first not above the second");
            PortRange::default()
        }
    }
}

fn listen_addresses(fields: &mut Fields<'_>) -> ListenAddresses {
    ListenAddresses {
        frontend: fields.optional("frontend"),
        readiness: fields.optional("readiness"),
        control_plane: fields.optional("controlPlane"),
    }
}

/// Defaults are the limits of the smallest documented machines.
fn limits(fields: &mut Fields<'_>) -> Limits {
    Limits {
        cpu_share: fields.number("cpuShare", 0.12),
        memory_mb: fields.optional("memoryMb").unwrap_or(64),
        file_descriptors: fields.optional("fileDescriptors").unwrap_or(1_024),
        disk_mb: fields.optional("diskMb").unwrap_or(64),
    }
}

fn fault_tolerance(fields: &mut Fields<'_>) -> FaultTolerance {
    FaultTolerance {
        machines: fields.optional("machines").unwrap_or(1),
        zones: fields.optional("zones").unwrap_or(0),
        regions: fields.optional("regions").unwrap_or(0),
    }
}

/// Defaults are the smallest documented bounds.
fn bounds(fields: &mut Fields<'_>) -> Bounds {
    Bounds {
        seed_lag: fields.seconds("seedLagS", 3.0),
        reuse_delay: fields.seconds("reuseDelayS", 2.0),
        contact: fields.milliseconds("contactMs", 3_000),
        ack_timeout: fields.milliseconds("ackTimeoutMs", 4_000),
        catch_up: fields.seconds("catchUpS", 4.0),
        drain_timeout: fields.milliseconds("drainTimeoutMs", 2_000),
        grace_period: fields.seconds("gracePeriodS", 8.0),
        loss_slack: fields.milliseconds("lossSlackMs", 200),
        config_apply: fields.milliseconds("configApplyMs", 2_000),
        rollback_slack: fields.milliseconds("rollbackSlackMs", 250),
        max_stretch: fields.milliseconds("maxStretchMs", 5_000),
        retry_budget_ratio: fields.number("retryBudgetRatio", 0.2),
        budget_window: fields.seconds("budgetWindowS", 10.0),
        retry_slack: fields.number("retrySlack", 0.0),
        recovery: fields.seconds("recoveryS", 12.0),
        pass: fields.milliseconds("pass_ms", 120),
        is_revocation_strict: fields.optional("revocationStrict").unwrap_or(false),
        revoke: fields.milliseconds("revokeMs", 5_000),
        quota_window: fields.seconds("quotaWindowS", 8.0),
        quota_overage: fields.number("quotaOverage", 0.0),
        quota_slack: fields.number("quotaSlack", 0.0),
    }
}
