//! Settings of a process: the file that the platform writes for it.
//!
//! It owns the typed record and its reading. It promises to ignore fields that it doesn't know, and
//! to name *all* faults of a file at once, each by its key.

mod fields;

use fields::Fields;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "LICHENSWITCH_CONFIG";

/// What a process is told at its start, and again on SIGHUP.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `nodeName`.
    pub node_name: String,
    /// `role`: the name that the deploy file gives it.
    pub role: String,
    /// `ipAddress` of the machine.
    pub ip_address: IpAddr,
    /// `zone` of the machine.
    pub zone: String,
    /// `region` of the machine.
    pub region: String,
    /// `internalPortRange`: the first and the last port for what the processes say to each other.
    pub internal_ports: (u16, u16),
    /// `seedNodes`: `controlPlane` addresses of some control machines.
    pub seed_nodes: Vec<SocketAddr>,
    /// `firstStart`: the whole system starts for the first time.
    pub first_start: bool,
    /// `lossCounted`: its loss counts towards [`FaultTolerance`].
    pub loss_counted: bool,
    /// `dataDirectory`, on machines with a disk.
    pub data_directory: Option<PathBuf>,
    /// `heartbeatIntervalMs` of the model servers.
    pub heartbeat_interval: Duration,
    /// `zones`: the region of each zone.
    pub zones: BTreeMap<String, String>,
    /// `listenAddresses`.
    pub listen: ListenAddresses,
    /// `forwarders`: addresses of other processes of the fleet, each with the one that it is
    /// reached at instead.
    pub forwarders: BTreeMap<SocketAddr, SocketAddr>,
    /// `limits` of the process.
    pub limits: Limits,
    /// `faultTolerance`.
    pub fault_tolerance: FaultTolerance,
    /// `bounds` of the rules.
    pub bounds: Bounds,
}

/// Where a role is called from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// `frontend`: clients.
    pub frontend: Option<SocketAddr>,
    /// `readiness`: the platform.
    pub readiness: Option<SocketAddr>,
    /// `controlPlane`: servers and operators.
    pub control_plane: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// `cpuShare` of a core.
    pub cpu_share: f64,
    /// `memoryMb`.
    pub memory_mb: u64,
    /// `fileDescriptors`.
    pub file_descriptors: usize,
    /// `diskMb`.
    pub disk_mb: u64,
}

/// What may be lost at once while all rules still hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// `machines` whose loss is counted.
    pub machines: usize,
    /// `zones`.
    pub zones: usize,
    /// `regions`.
    pub regions: usize,
}

/// Figures of the rules in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// `seedLagS`: how far the operators' list of control machines lags.
    pub seed_lag: Duration,
    /// `reuseDelayS`: after its server has ended, an address rests so long.
    pub reuse_delay: Duration,
    /// `contactMs`: after it a machine without trouble counts as in touch.
    pub contact: Duration,
    /// `ackTimeoutMs`: an order is acknowledged within it.
    pub ack_timeout: Duration,
    /// `catchUpS`: a machine that is back may take so long.
    pub catch_up: Duration,
    /// `drainTimeoutMs`: a server that leaves serves on so long.
    pub drain_timeout: Duration,
    /// `gracePeriodS`: between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// `lossSlackMs`.
    pub loss_slack: Duration,
    /// `configApplyMs`: an acknowledged configuration is in force within it.
    pub config_apply: Duration,
    /// `rollbackSlackMs`.
    pub rollback_slack: Duration,
    /// `maxStretchMs`.
    pub max_stretch: Duration,
    /// `retryBudgetRatio`: further arrivals for each request.
    pub retry_budget_ratio: f64,
    /// `budgetWindowS`: the window of that budget.
    pub budget_window: Duration,
    /// `retrySlack`: further arrivals beside that ratio.
    pub retry_slack: f64,
    /// `recoveryS`.
    pub recovery: Duration,
    /// `pass_ms`: an event of a stream is passed on within it.
    pub pass: Duration,
    /// `revocationStrict`: `revokeMs` holds for all machines, in touch or not.
    pub revocation_strict: bool,
    /// `revokeMs`: a key that was taken away is dead within it.
    pub revoke: Duration,
    /// `quotaWindowS`: the window of quotas.
    pub quota_window: Duration,
    /// `quotaOverage`: how far a quota may be exceeded, as a share of it.
    pub quota_overage: f64,
    /// `quotaSlack`: how far beside that, in the unit of the quota.
    pub quota_slack: f64,
}

impl Bounds {
    /// The bounds on quotas.
    #[must_use]
    pub fn quota_terms(&self) -> lichenswitch_quota::QuotaBounds {
        lichenswitch_quota::QuotaBounds {
            window: self.quota_window,
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }
}

/// Why there are no settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Neither the option nor the variable names a file.
    #[error("no settings file: give --settings FILE, or set {PATH_VARIABLE}")]
    NoPath,
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Its path.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// It is not TOML.
    #[error("not TOML: {0}")]
    Syntax(Box<toml::de::Error>),
    /// Fields are missing, or can't be what they are.
    #[error("{0}")]
    Fields(Faults),
}

/// All faults of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

/// A field that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Its key, with the table it stands in: `limits.memoryMb`.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            write!(
                f,
                "{}{}: {}",
                if i > 0 { "; " } else { "" },
                fault.key,
                fault.reason
            )?;
        }
        Ok(())
    }
}

/// The path of the settings file: the option's, or the variable's.
pub fn path(option: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
    let variable = || std::env::var_os(PATH_VARIABLE).map(PathBuf::from);
    option.or_else(variable).ok_or(SettingsError::NoPath)
}

impl Settings {
    /// Reads the file at `path`.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Reads a file's text.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let table: toml::Table = text
            .parse()
            .map_err(|e| SettingsError::Syntax(Box::new(e)))?;
        let mut fields = Fields::new(&table);
        let settings = read_all(&mut fields);
        let faults = fields.into_faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Fields(Faults(faults)))
        }
    }

    /// Where a control machine of this address is reached by routers and other control machines.
    #[must_use]
    pub fn internal_address_of(&self, control_plane: SocketAddr) -> SocketAddr {
        SocketAddr::new(control_plane.ip(), self.internal_ports.0)
    }

    /// Where another process of the fleet is reached: at its own address, but for those that
    /// `forwarders` names.
    #[must_use]
    pub fn reached_at(&self, address: SocketAddr) -> SocketAddr {
        self.forwarders.get(&address).copied().unwrap_or(address)
    }

    /// Where the seeds are reached by routers and other control machines.
    #[must_use]
    pub fn seeds_internal(&self) -> Vec<SocketAddr> {
        self.seed_nodes
            .iter()
            .map(|seed| self.internal_address_of(*seed))
            .collect()
    }
}

fn read_all(fields: &mut Fields<'_>) -> Settings {
    let ports: Vec<u16> = fields.required("internalPortRange");
    if !matches!(ports[..], [first, last] if 0 < first && first <= last) {
        fields.fault(
            "internalPortRange",
            "must be two ports, the first not above the second",
        );
    }
    let unspecified = IpAddr::from([0, 0, 0, 0]);
    Settings {
        node_name: fields.required("nodeName"),
        role: fields.optional("role").unwrap_or_default(),
        ip_address: fields.required_or("ipAddress", unspecified),
        zone: fields.required("zone"),
        region: fields.optional("region").unwrap_or_default(),
        internal_ports: (
            ports.first().copied().unwrap_or(0),
            ports.last().copied().unwrap_or(0),
        ),
        seed_nodes: fields.required("seedNodes"),
        first_start: fields.optional("firstStart").unwrap_or(false),
        loss_counted: fields.optional("lossCounted").unwrap_or(false),
        data_directory: fields.optional("dataDirectory"),
        heartbeat_interval: fields.milliseconds("heartbeatIntervalMs", 1_200),
        zones: fields.optional("zones").unwrap_or_default(),
        listen: fields.within("listenAddresses", listen_addresses),
        forwarders: fields.optional("forwarders").unwrap_or_default(),
        limits: fields.within("limits", limits),
        fault_tolerance: fields.within("faultTolerance", fault_tolerance),
        bounds: fields.within("bounds", bounds),
    }
}

fn listen_addresses(fields: &mut Fields<'_>) -> ListenAddresses {
    ListenAddresses {
        frontend: fields.optional("frontend"),
        readiness: fields.optional("readiness"),
        control_plane: fields.optional("controlPlane"),
    }
}

/// What is not told is taken to be as narrow as the smallest machines of the operators' pages.
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

/// What is not told has the smallest figures of the operators' pages.
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
        revocation_strict: fields.optional("revocationStrict").unwrap_or(false),
        revoke: fields.milliseconds("revokeMs", 5_000),
        quota_window: fields.seconds("quotaWindowS", 8.0),
        quota_overage: fields.number("quotaOverage", 0.0),
        quota_slack: fields.number("quotaSlack", 0.0),
    }
}
