//! The fleet's roles on a disk that loses its power with its process, for the soak. Its command line
//! is that of `lichenswitch-fleet` without options: a subcommand, and the settings file that the
//! environment names. The table `soak` of that file may plant a fault.
#![forbid(unsafe_code)]

use lichenswitch_fleet::control::Environment;
use lichenswitch_fleet::settings::{self, Settings};
use lichenswitch_fleet::{control, logging, router};
use lichenswitch_replication::Fault;
use lichenswitch_soak::volatile_disk::VolatileDisk;
use lichenswitch_storage::FileSystem;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// The value of `soak.plant` for a primary that acknowledges what only its disk has.
const PRIMARY_COMMITS_ALONE: &str = "primary_commits_alone";

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    logging::start();
    let outcome = run(std::env::args().nth(1).as_deref());
    if let Err(error) = &outcome {
        log::error!(target: "main", error = error.to_string().as_str(); "the role can't go on");
    }
    logging::finish();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn run(role: Option<&str>) -> Result<(), Failure> {
    let path = settings::path(None)?;
    let settings = Settings::read(&path)?;
    match role {
        Some("router") => Ok(router::run(&settings, path)?),
        Some("control") => {
            let environment = environment(&settings, &path)?;
            Ok(control::run_on(settings, path, environment)?)
        }
        _ => Err("usage: lichenswitch-volatile-fleet router|control".into()),
    }
}

fn environment(settings: &Settings, path: &Path) -> Result<Environment, Failure> {
    let mut environment = Environment::default();
    if let Some(folder) = &settings.data_directory {
        let disk = VolatileDisk::new(folder, u64::from(std::process::id()));
        environment.file_systems = Arc::new(move || Box::new(disk.clone()) as Box<dyn FileSystem>);
    }
    match planted_fault(path)?.as_deref() {
        None => {}
        Some(PRIMARY_COMMITS_ALONE) => environment.faults.plant(Fault::PrimaryCommitsAlone),
        Some(other) => return Err(format!("soak.plant: there is no fault {other:?}").into()),
    }
    Ok(environment)
}

/// The fault that the settings file asks for.
fn planted_fault(path: &Path) -> Result<Option<String>, Failure> {
    let text = std::fs::read_to_string(path)?;
    let table: toml::Table = text.parse()?;
    let plant = table.get("soak").and_then(|soak| soak.get("plant"));
    Ok(plant.and_then(toml::Value::as_str).map(str::to_owned))
}
