//! The program of the fleet: a subcommand a role, and the command line for operators.
//!
//! It ends with 0 when it was told to end or has shown what was asked; 1 when a role can't go on or what was checked is not well; 2 when
//! its settings or its arguments can't be used.
#![forbid(unsafe_code)]

use bpaf::Bpaf;
use lichenswitch_fleet::settings::{self, Settings, SettingsError};
use lichenswitch_fleet::{control, router};
use std::path::PathBuf;
use std::process::ExitCode;

/// A router fleet for a language model.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Take clients, and relay their requests to model servers.
    #[bpaf(command)]
    Router {
        /// Settings file; without it, the one that LICHENSWITCH_CONFIG names.
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
    /// Keep the configuration, and know servers and routers.
    #[bpaf(command)]
    Control {
        /// Settings file; without it, the one that LICHENSWITCH_CONFIG names.
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
    },
}

/// Exit code for settings or arguments that can't be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    match command().run() {
        Command::Router { settings } => {
            role(settings, |settings, _| router::run(settings).map_err(Box::from))
        }
        Command::Control { settings } => {
            role(settings, |settings, path| control::run(settings, path).map_err(Box::from))
        }
    }
}

type Failure = Box<dyn std::error::Error>;

fn role(option: Option<PathBuf>, run: impl FnOnce(Settings, PathBuf) -> Result<(), Failure>) -> ExitCode {
    let (settings, path) = match read(option) {
        Ok(read) => read,
        Err(e) => {
            eprintln!("lichenswitch-fleet: settings: {e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lichenswitch-fleet: {e}");
            ExitCode::FAILURE
        }
    }
}

fn read(option: Option<PathBuf>) -> Result<(Settings, PathBuf), SettingsError> {
    let path = settings::path(option)?;
    Ok((Settings::read(&path)?, path))
}
