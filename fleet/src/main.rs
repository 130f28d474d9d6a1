//! The executable of the fleet, with a subcommand for each role and commands for operators.
//!
//! Exit codes: 0 after SIGTERM, or when a command has succeeded; 1 when a role can't continue, or
//! no control machine responds; 2 when settings, arguments or a checked file are invalid.
#![forbid(unsafe_code)]

use bpaf::Bpaf;
use lichenswitch_fleet::settings::{self, Settings, SettingsError};
use lichenswitch_fleet::{check, control, logging, router, status};
use std::net::SocketAddr;
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
    /// Show how a control machine and the fleet stand, as JSON.
    #[bpaf(command)]
    Status {
        /// Settings file whose control machines are asked; without it, the one that
        /// LICHENSWITCH_CONFIG names.
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// The control machine to ask, `ip:port` of its controlPlane.
        #[bpaf(positional("ADDRESS"))]
        address: Option<SocketAddr>,
    },
    /// Check a settings file, or an operator's configuration.
    #[bpaf(command)]
    Check {
        /// The file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Exit code for invalid settings, arguments or checked files.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            // `--help` also arrives here, with exit code 0.
            return if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_INVALID_INPUT)
            };
        }
    };
    match command {
        Command::Router { settings } => run_role(settings, |settings, path| {
            router::run(&settings, path).map_err(Box::from)
        }),
        Command::Control { settings } => run_role(settings, |settings, path| {
            control::run(settings, path).map_err(Box::from)
        }),
        Command::Status { settings, address } => {
            print_result(status::fetch(settings, address), ExitCode::FAILURE)
        }
        Command::Check { file } => {
            print_result(check::check(&file), ExitCode::from(EXIT_INVALID_INPUT))
        }
    }
}

/// The error that ended a role.
type RoleError = Box<dyn std::error::Error>;

/// Reads the settings, starts the log and runs a role. Settings errors go to standard error as
/// plain text, because the log is not started yet.
fn run_role(
    option: Option<PathBuf>,
    run: impl FnOnce(Settings, PathBuf) -> Result<(), RoleError>,
) -> ExitCode {
    let (settings, path) = match read_settings(option) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("lichenswitch-fleet: settings: {e}");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    logging::start();
    let outcome = run(settings, path);
    if let Err(e) = &outcome {
        log::error!(target: "main", error = e.to_string().as_str(); "the role can't go on");
    }
    logging::finish();
    if outcome.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn read_settings(option: Option<PathBuf>) -> Result<(Settings, PathBuf), SettingsError> {
    let path = settings::path(option)?;
    Ok((Settings::read(&path)?, path))
}

/// Prints the result of a command and returns success, or prints its error and returns `failure`.
fn print_result<T: std::fmt::Display, E: std::fmt::Display>(
    outcome: Result<T, E>,
    failure: ExitCode,
) -> ExitCode {
    match outcome {
        Ok(result) => {
            println!("{result}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("lichenswitch-fleet: {e}");
            failure
        }
    }
}
