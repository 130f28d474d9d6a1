//! The typed settings of a process.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// The settings of a process, read at its start and again on SIGHUP. The doc of each field
/// gives its key in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// `nodeName`: name of the node in the fleet.
    pub node_name: String,
    /// `role`: name of the role in the deploy file.
    pub role: String,
    /// `ipAddress` of the machine.
    pub ip_address: IpAddr,
    /// `zone` of the machine.
    pub zone: String,
    /// `region` of the machine.
    pub region: String,
    /// `internalPortRange`: ports for connections between the processes of the fleet.
    pub internal_port_range: PortRange,
    /// `seedNodes`: `controlPlane` addresses of some control machines.
    pub seed_nodes: Vec<SocketAddr>,
    /// `firstStart`: whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// `lossCounted`: whether the loss of this machine counts towards [`FaultTolerance`].
    pub is_loss_counted: bool,
    /// `dataDirectory`, on machines with a disk.
    pub data_directory: Option<PathBuf>,
    /// `heartbeatIntervalMs` of the model servers.
    pub heartbeat_interval: Duration,
    /// `zones`: the region of each zone.
    pub zones: BTreeMap<String, String>,
    /// `listenAddresses`: addresses for connections from outside the fleet.
    pub listen_addresses: ListenAddresses,
    /// `forwarders`: addresses of other processes of the fleet, each with the address at which it
    /// is reached instead.
    pub forwarders: BTreeMap<SocketAddr, SocketAddr>,
    /// `limits`: resources of the process.
    pub limits: Limits,
    /// `faultTolerance`: losses under which all rules still hold.
    pub fault_tolerance: FaultTolerance,
    /// `bounds`: the bounds of the operator's rules.
    pub bounds: Bounds,
}

/// An inclusive range of ports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PortRange {
    /// First port, at least 1 in valid settings.
    pub first: u16,
    /// Last port, not below `first`.
    pub last: u16,
}

/// The addresses on which a role listens for connections from outside the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// `frontend`: for clients.
    pub frontend: Option<SocketAddr>,
    /// `readiness`: for the platform.
    pub readiness: Option<SocketAddr>,
    /// `controlPlane`: for model servers and operators.
    pub control_plane: Option<SocketAddr>,
}

/// Resources that a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// `cpuShare`: share of a core.
    pub cpu_share: f64,
    /// `memoryMb`: memory (MiB).
    pub memory_mb: u64,
    /// `fileDescriptors`: open descriptors.
    pub file_descriptors: usize,
    /// `diskMb`: disk space (MiB).
    pub disk_mb: u64,
}

/// The losses at one time under which all rules still hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// `machines`: number of machines whose loss is counted.
    pub machines: usize,
    /// `zones`: number of whole zones.
    pub zones: usize,
    /// `regions`: number of whole regions.
    pub regions: usize,
}

/// The time and rate bounds in the operator's rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// `seedLagS`: maximum delay of the operators' list of control machines.
    pub seed_lag: Duration,
    /// `reuseDelayS`: time for which an address is not reused after its server has ended.
    pub reuse_delay: Duration,
    /// `contactMs`: time after which a machine without faults counts as in contact.
    pub contact: Duration,
    /// `ackTimeoutMs`: time within which an order is acknowledged.
    pub ack_timeout: Duration,
    /// `catchUpS`: maximum time that a returning machine may take to catch up.
    pub catch_up: Duration,
    /// `drainTimeoutMs`: time for which a draining server still serves.
    pub drain_timeout: Duration,
    /// `gracePeriodS`: time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// `lossSlackMs`: tolerance around the loss of a machine.
    pub loss_slack: Duration,
    /// `configApplyMs`: time within which an acknowledged configuration is active everywhere.
    pub config_apply: Duration,
    /// `rollbackSlackMs`: time for which an older configuration may still be served after a newer
    /// one.
    pub rollback_slack: Duration,
    /// `maxStretchMs`: longest extension of a time bound under faults.
    pub max_stretch: Duration,
    /// `retryBudgetRatio`: retries per request.
    pub retry_budget_ratio: f64,
    /// `budgetWindowS`: length of the window of the retry budget.
    pub budget_window: Duration,
    /// `retrySlack`: retries allowed in a window in addition to `retryBudgetRatio`.
    pub retry_slack: f64,
    /// `recoveryS`: time to recover after faults.
    pub recovery: Duration,
    /// `pass_ms`: time within which an event of a stream is forwarded.
    pub pass: Duration,
    /// `revocationStrict`: whether `revokeMs` also holds for machines that are not in contact.
    pub is_revocation_strict: bool,
    /// `revokeMs`: time within which a revoked key is rejected.
    pub revoke: Duration,
    /// `quotaWindowS`: length of the window of quotas.
    pub quota_window: Duration,
    /// `quotaOverage`: share of a quota by which it may be exceeded.
    pub quota_overage: f64,
    /// `quotaSlack`: amount allowed in addition to `quotaOverage`, in the unit of the quota.
    pub quota_slack: f64,
}

impl Bounds {
    /// Returns the bounds that apply to quotas.
    #[must_use]
    pub fn quota_bounds(&self) -> lichenswitch_quota::QuotaBounds {
        lichenswitch_quota::QuotaBounds {
            window: self.quota_window,
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }
}

impl Settings {
    /// Returns the address at which a control machine accepts routers and other control machines:
    /// its `controlPlane` IP address with the first internal port.
    #[must_use]
    pub fn internal_address_of(&self, control_plane: SocketAddr) -> SocketAddr {
        SocketAddr::new(control_plane.ip(), self.internal_port_range.first)
    }

    /// Returns the address at which another process of the fleet is reached: that of its forwarder
    /// if `forwarders` has one, else `address` itself.
    #[must_use]
    pub fn reachable_address(&self, address: SocketAddr) -> SocketAddr {
        self.forwarders.get(&address).copied().unwrap_or(address)
    }

    /// Returns the internal addresses of the seed nodes, see [`Settings::internal_address_of`].
    #[must_use]
    pub fn internal_seed_addresses(&self) -> Vec<SocketAddr> {
        self.seed_nodes
            .iter()
            .map(|seed| self.internal_address_of(*seed))
            .collect()
    }
}
