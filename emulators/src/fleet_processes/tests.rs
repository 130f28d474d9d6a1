//! Tests of `fleet_processes` with shell scripts as the program.

use super::demonstration::DemonstrationError;
use super::*;
use std::os::unix::fs::PermissionsExt;
use std::thread;
use std::time::{Duration, Instant};

/// A program by a shell script, in a folder of its own that goes with it.
struct Script(PathBuf);

impl Script {
    fn new(name: &str, text: &str) -> Script {
        let folder =
            std::env::temp_dir().join(format!("fleet-script-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let program = folder.join("program");
        std::fs::write(&program, format!("#!/bin/sh\n{text}\n")).expect("written");
        std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755))
            .expect("permissions");
        Script(program)
    }
}

impl Drop for Script {
    fn drop(&mut self) {
        if let Some(folder) = self.0.parent() {
            let _ = std::fs::remove_dir_all(folder);
        }
    }
}

fn wait_for(path: &Path) {
    let until = Instant::now() + Duration::from_secs(10);
    while std::fs::read_to_string(path).unwrap_or_default().is_empty() {
        assert!(Instant::now() < until, "nothing in {}", path.display());
        thread::yield_now();
    }
}

fn runs(id: u32) -> bool {
    Path::new(&format!("/proc/{id}")).exists()
}

#[test]
fn missing_program_is_named_in_the_error() {
    let error = FleetProcesses::new(Path::new("/nonexistent/lichenswitch-fleet"), 3)
        .expect_err("no program");
    assert!(error
        .to_string()
        .contains("/nonexistent/lichenswitch-fleet"));
}

#[test]
fn processes_end_on_sigterm() {
    let script = Script::new("ends", "echo $1 $LICHENSWITCH_CONFIG; exec sleep 60");
    let mut fleet = FleetProcesses::new(&script.0, 2).expect("a fleet");
    fleet.start_all().expect("started");
    let started = fleet.started();
    assert_eq!(started.len(), 4);
    for StartedProcess { role, machine, .. } in &started {
        wait_for(&fleet.log(*role, *machine));
        let log = std::fs::read_to_string(fleet.log(*role, *machine)).expect("a log");
        assert!(log.starts_with(&format!("{role} ")), "{log}");
    }
    fleet.check().expect("all run");
    assert_eq!(fleet.stop_all(Duration::from_secs(10)), 0);
    assert!(started.iter().all(|process| !runs(process.id)));
}

#[test]
fn processes_that_ignore_sigterm_and_those_of_a_dropped_fleet_are_killed() {
    let script = Script::new(
        "stays",
        "trap '' TERM\necho up\nwhile :; do sleep 0.1; done",
    );
    let mut fleet = FleetProcesses::new(&script.0, 2).expect("a fleet");
    fleet.start(Role::Control, 0, true).expect("started");
    fleet.start(Role::Router, 1, true).expect("started");
    wait_for(&fleet.log(Role::Control, 0));
    let started = fleet.started();
    fleet.stop(Role::Control, 0, Duration::from_millis(100));
    assert!(!runs(started[0].id) && runs(started[1].id));
    let folder = fleet.folder.clone();
    drop(fleet);
    assert!(!runs(started[1].id) && !folder.exists());
}

#[test]
fn killed_process_keeps_its_disk_until_wiped() {
    let script = Script::new("disk", "echo up; exec sleep 60");
    let mut fleet = FleetProcesses::new(&script.0, 1).expect("a fleet");
    let file = fleet.disk(Role::Control, 0).join("kept");
    fleet.start(Role::Control, 0, true).expect("started");
    std::fs::write(&file, "state").expect("written");
    fleet.kill(Role::Control, 0);
    fleet.start(Role::Control, 0, false).expect("started");
    assert!(file.exists());
    fleet.kill(Role::Control, 0);
    fleet.wipe(Role::Control, 0).expect("wiped");
    assert!(!file.exists());
}

#[test]
fn paused_process_receives_its_signals_on_resume() {
    let text = "trap 'echo again' HUP\ntrap 'exit 3' TERM\necho up\nwhile :; do sleep 0.01; done";
    let script = Script::new("frozen", text);
    let mut fleet = FleetProcesses::new(&script.0, 2)
        .expect("a fleet")
        .with_grace(4);
    assert!(fleet
        .settings(Role::Router, 0, true)
        .contains("gracePeriodS = 4\n"));
    fleet.start(Role::Router, 0, true).expect("started");
    fleet.start(Role::Router, 1, true).expect("started");
    let log = fleet.log(Role::Router, 0);
    wait_for(&log);
    fleet.hang_up(Role::Router, 0);
    let until = Instant::now() + Duration::from_secs(10);
    while !std::fs::read_to_string(&log)
        .unwrap_or_default()
        .contains("again")
    {
        assert!(Instant::now() < until, "the signal did not come");
        thread::yield_now();
    }
    fleet.pause(Role::Router, 0);
    fleet.terminate(Role::Router, 0);
    assert!(fleet.ended().is_empty() && fleet.has(Role::Router, 0));
    fleet.resume(Role::Router, 0);
    let mut ended = Vec::new();
    while ended.is_empty() {
        assert!(Instant::now() < until, "it did not end");
        ended = fleet.ended();
    }
    assert_eq!(ended.len(), 1);
    assert_eq!(
        (ended[0].role, ended[0].machine, ended[0].status.code()),
        (Role::Router, 0, Some(3))
    );
    assert!(!fleet.has(Role::Router, 0) && fleet.has(Role::Router, 1));
}

#[test]
fn settings_list_the_same_seeds_and_the_role() {
    let script = Script::new("settings", "exit 0");
    let fleet = FleetProcesses::new(&script.0, 4).expect("a fleet");
    let (control, router) = (
        fleet.settings(Role::Control, 1, true),
        fleet.settings(Role::Router, 3, false),
    );
    let line = |text: &str, name: &str| {
        text.lines()
            .find(|line| line.starts_with(name))
            .map(str::to_string)
    };
    assert_eq!(line(&control, "seedNodes"), line(&router, "seedNodes"));
    assert_eq!(
        line(&control, "seedNodes")
            .expect("a line")
            .matches(":8262")
            .count(),
        3
    );
    assert_eq!(
        line(&control, "firstStart").as_deref(),
        Some("firstStart = true")
    );
    assert_eq!(
        line(&router, "firstStart").as_deref(),
        Some("firstStart = false")
    );
    assert!(line(&control, "controlPlane").is_some() && line(&control, "frontend").is_none());
    assert!(line(&router, "frontend").is_some() && line(&router, "controlPlane").is_none());
}

#[test]
fn two_fleets_use_disjoint_addresses() {
    let script = Script::new("two", "exit 0");
    let one = FleetProcesses::new(&script.0, 3).expect("a fleet");
    let other = FleetProcesses::new(&script.0, 3).expect("another");
    assert!(one
        .control()
        .iter()
        .all(|address| !other.control().contains(address)));
}

#[test]
fn demonstration_of_a_program_that_ends_reports_it_and_cleans_up() {
    let script = Script::new("fails", "echo no such settings; exit 7");
    let mut out = Vec::new();
    let error = demonstration::run(&script.0, &mut out).expect_err("it can't be shown");
    assert!(
        matches!(
            error,
            DemonstrationError::Fleet(FleetError::ProcessEnded {
                status: Some(7),
                ..
            })
        ),
        "{error}"
    );
    assert!(error.to_string().contains("no such settings"));
    assert!(String::from_utf8_lossy(&out).contains("stopped all processes; 0 had to be killed"));
}
