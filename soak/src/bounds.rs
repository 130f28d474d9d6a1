//! The bounds of the deployment under test, as in the settings files of its processes.

use std::time::Duration;

/// Machines of the fleet; a control process and a router on each.
pub const MACHINES: usize = 4;
/// `gracePeriodS`: between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(4);
/// `contactMs`: this long after an unplanned fault, machines have contact again.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `configApplyMs`: an acknowledged configuration is in force at all machines after this time.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `drainTimeoutMs`: a server whose departure was acknowledged gets requests for this long at
/// most.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// `lossSlackMs`: a request that reaches no server within this time may have crossed the end of its
/// connection.
pub const LOSS_MARGIN: Duration = Duration::from_millis(200);
/// `recoveryS`: after a loss of all processes, requests are served again within this time.
pub const RECOVERY: Duration = Duration::from_secs(12);
