//! Settings: what is read, and that all faults of a file are named at once.

use assert_matches::assert_matches;
use lichenswitch_fleet::settings::{PortRange, Settings, SettingsError};
use std::net::SocketAddr;
use std::time::Duration;

const GOOD: &str = r#"
nodeName = "edge-a-1"
role = "control"
machineClass = "edge"
serves = ["edge", "control_plane"]
ipAddress = "10.1.0.10"
zone = "a"
region = "south"
internalPortRange = [7300, 7315]
seedNodes = ["10.1.0.10:8262", "10.2.0.14:8262"]
firstStart = true
lossCounted = true
dataDirectory = "/data/my-edge"
heartbeatIntervalMs = 1200
what = { nobody = "knows" }
[zones]
a = "south"
[listenAddresses]
controlPlane = "10.1.0.10:8262"
[limits]
cpuShare = 0.45
memoryMb = 260
fileDescriptors = 4100
diskMb = 64
[faultTolerance]
machines = 2
[bounds]
contactMs = 3000
gracePeriodS = 8
retryBudgetRatio = 0.2
retrySlack = 58
"#;

#[test]
fn platform_settings_are_read_and_unknown_fields_ignored() {
    let settings = Settings::parse(GOOD).unwrap();
    assert_eq!(settings.node_name, "edge-a-1");
    assert_eq!(
        settings.internal_port_range,
        PortRange {
            first: 7_300,
            last: 7_315
        }
    );
    assert_eq!(
        settings.internal_seed_addresses()[1],
        "10.2.0.14:7300".parse::<SocketAddr>().unwrap()
    );
    assert_eq!(
        settings.listen_addresses.control_plane,
        "10.1.0.10:8262".parse().ok()
    );
    assert_eq!(settings.listen_addresses.frontend, None);
    assert_eq!(settings.fault_tolerance.machines, 2);
    assert_eq!(settings.bounds.grace_period, Duration::from_secs(8));
    assert!(settings.is_first_start && settings.is_loss_counted);
    assert!((settings.bounds.retry_slack - 58.0).abs() < f64::EPSILON);
}

#[test]
fn all_invalid_settings_are_named_by_key() {
    let bad = GOOD
        .replace("nodeName", "nodename")
        .replace("\"10.1.0.10\"", "\"here\"")
        .replace("[7300, 7315]", "[7315, 7300]")
        .replace("memoryMb = 260", "memoryMb = \"much\"")
        .replace("contactMs = 3000", "contactMs = -1")
        .replace("[faultTolerance]\nmachines = 2", "");
    let bad = format!("faultTolerance = 3\n{bad}");
    let error =
        assert_matches!(Settings::parse(&bad), Err(SettingsError::Fields(faults)) => faults);
    let keys: Vec<&str> = error.0.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "internalPortRange",
            "nodeName",
            "ipAddress",
            "limits.memoryMb",
            "faultTolerance",
            "bounds.contactMs"
        ]
    );
    assert!(
        error.to_string().contains("nodeName: is missing; "),
        "{error}"
    );
}

#[test]
fn invalid_toml_is_reported() {
    assert_matches!(Settings::parse("= 3"), Err(SettingsError::Syntax(_)));
}

#[test]
fn processes_are_reached_through_configured_forwarders() {
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    let settings = Settings::parse(&format!(
        "{GOOD}[forwarders]\n\"10.2.0.14:7300\" = \"10.9.0.1:40000\"\n"
    ))
    .unwrap();
    assert_eq!(
        settings.reachable_address(address("10.2.0.14:7300")),
        address("10.9.0.1:40000")
    );
    assert_eq!(
        settings.reachable_address(address("10.3.0.18:7300")),
        address("10.3.0.18:7300")
    );
    let faulty = format!("{GOOD}[forwarders]\n\"10.2.0.14\" = \"10.9.0.1:40000\"\n");
    let faults =
        assert_matches!(Settings::parse(&faulty), Err(SettingsError::Fields(faults)) => faults);
    assert_eq!(
        faults
            .0
            .iter()
            .map(|fault| fault.key.as_str())
            .collect::<Vec<_>>(),
        ["forwarders"]
    );
}
