//! The typed record of a settings file.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// The settings of a process, read at its start and again on SIGHUP. Each field names its key.
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
    /// `internalPortRange`: ports for connections between the processes of the fleet.
    pub internal_port_range: PortRange,
    /// `seedNodes`: `controlPlane` addresses of some control machines.
    pub seed_nodes: Vec<SocketAddr>,
    /// `firstStart`: this is the first start of the whole system.
    pub is_first_start: bool,
    /// `lossCounted`: the loss of this machine counts towards [`FaultTolerance`].
    pub is_loss_counted: bool,
    /// `dataDirectory`, on machines with a disk.
    pub data_directory: Option<PathBuf>,
    /// `heartbeatIntervalMs` of the model servers.
    pub heartbeat_interval: Duration,
    /// `zones`: the region of each zone.
    pub zones: BTreeMap<String, String>,
    /// `listenAddresses`.
    pub listen_addresses: ListenAddresses,
    /// `forwarders`: addresses of other processes of the fleet, each with the address at which it is
    /// reached instead.
    pub forwarders: BTreeMap<SocketAddr, SocketAddr>,
    /// `limits`: resources of the process.
    pub limits: Limits,
    /// `faultTolerance`.
    pub fault_tolerance: FaultTolerance,
    /// `bounds`: the bounds of the operator's rules.
    pub bounds: Bounds,
}

/// A range of ports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PortRange {
    /// The first one.
    pub first: u16,
    /// The last one; not below the first.
    pub last: u16,
}

/// Where a role listens for connections from outside the fleet.
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

/// How much may be lost at once while all rules still hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// `machines`: machines whose loss is counted.
    pub machines: usize,
    /// `zones`: whole zones.
    pub zones: usize,
    /// `regions`: whole regions.
    pub regions: usize,
}

/// The bounds of the operator's rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// `seedLagS`: how far the operators' list of control machines lags.
    pub seed_lag: Duration,
    /// `reuseDelayS`: how long an address is not reused after its server has ended.
    pub reuse_delay: Duration,
    /// `contactMs`: a machine without faults counts as in contact after this.
    pub contact: Duration,
    /// `ackTimeoutMs`: an order is acknowledged within it.
    pub ack_timeout: Duration,
    /// `catchUpS`: how long a machine that is back may take to catch up.
    pub catch_up: Duration,
    /// `drainTimeoutMs`: how long a draining server still serves.
    pub drain_timeout: Duration,
    /// `gracePeriodS`: between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// `lossSlackMs`: tolerance around the loss of a machine.
    pub loss_slack: Duration,
    /// `configApplyMs`: an acknowledged configuration is active everywhere within it.
    pub config_apply: Duration,
    /// `rollbackSlackMs`: how long an older configuration may still be served after a newer one.
    pub rollback_slack: Duration,
    /// `maxStretchMs`: longest extension of a time bound under faults.
    pub max_stretch: Duration,
    /// `retryBudgetRatio`: retries per request.
    pub retry_budget_ratio: f64,
    /// `budgetWindowS`: the window of the retry budget.
    pub budget_window: Duration,
    /// `retrySlack`: retries in a window beside that ratio.
    pub retry_slack: f64,
    /// `recoveryS`: time to recover after faults.
    pub recovery: Duration,
    /// `pass_ms`: an event of a stream is forwarded within it.
    pub pass: Duration,
    /// `revocationStrict`: `revokeMs` holds for all machines, whether in contact or not.
    pub is_revocation_strict: bool,
    /// `revokeMs`: a revoked key is rejected within it.
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
    pub fn quota_bounds(&self) -> lichenswitch_quota::QuotaBounds {
        lichenswitch_quota::QuotaBounds {
            window: self.quota_window,
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }
}

impl Settings {
    /// The address of a control machine for routers and other control machines.
    #[must_use]
    pub fn internal_address_of(&self, control_plane: SocketAddr) -> SocketAddr {
        SocketAddr::new(control_plane.ip(), self.internal_port_range.first)
    }

    /// Where another process of the fleet is reached: at its own address, or at that of its forwarder.
    #[must_use]
    pub fn reachable_address(&self, address: SocketAddr) -> SocketAddr {
        self.forwarders.get(&address).copied().unwrap_or(address)
    }

    /// The addresses of the seeds for routers and other control machines.
    #[must_use]
    pub fn internal_seed_addresses(&self) -> Vec<SocketAddr> {
        self.seed_nodes
            .iter()
            .map(|seed| self.internal_address_of(*seed))
            .collect()
    }
}
