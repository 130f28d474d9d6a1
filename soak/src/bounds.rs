//! The figures of the played deployment, as the settings files give them to the processes.

use std::time::Duration;

/// Machines of the fleet; a control process and a router on each.
pub const MACHINES: usize = 4;
/// `gracePeriodS`: between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(4);
/// `contactMs`: an unplanned trouble is over so long after it.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `configApplyMs`: an acknowledged configuration is everywhere after it.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `drainTimeoutMs`: a server that has said that it leaves gets requests for so long.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// `lossSlackMs`: a connection may cross a request for so long.
pub const LOSS_MARGIN: Duration = Duration::from_millis(200);
/// `recoveryS`: after a loss of all, service is back.
pub const RECOVERY: Duration = Duration::from_secs(12);
