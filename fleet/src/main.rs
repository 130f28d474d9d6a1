//! The program of the fleet: a subcommand a role, and the command line for operators.
//!
//! Exit codes: 0 when it was told to end, or has shown what was asked; 1 when a role can't go on,
//! or when nobody answers; 2 when its settings or its arguments can't be used, or what was checked
//! can't be.
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

/// Exit code for settings, arguments or checked files that can't be used.
const EXIT_UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            // Help that was asked for is no failure.
            return if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(EXIT_UNUSABLE)
            };
        }
    };
    match command {
        Command::Router { settings } => role(settings, |settings, path| {
            router::run(&settings, path).map_err(Box::from)
        }),
        Command::Control { settings } => role(settings, |settings, path| {
            control::run(settings, path).map_err(Box::from)
        }),
        Command::Status { settings, address } => {
            shown(status::fetch(settings, address), ExitCode::FAILURE)
        }
        Command::Check { file } => shown(check::check(&file), ExitCode::from(EXIT_UNUSABLE)),
    }
}

type Failure = Box<dyn std::error::Error>;

fn role(
    option: Option<PathBuf>,
    run: impl FnOnce(Settings, PathBuf) -> Result<(), Failure>,
) -> ExitCode {
    let (settings, path) = match read(option) {
        Ok(read) => read,
        Err(e) => {
            eprintln!("lichenswitch-fleet: settings: {e}");
            return ExitCode::from(EXIT_UNUSABLE);
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

fn read(option: Option<PathBuf>) -> Result<(Settings, PathBuf), SettingsError> {
    let path = settings::path(option)?;
    Ok((Settings::read(&path)?, path))
}

/// Shows the answer, or why there is none, which ends with `failure`.
fn shown<T: std::fmt::Display, E: std::fmt::Display>(
    outcome: Result<T, E>,
    failure: ExitCode,
) -> ExitCode {
    match outcome {
        Ok(answer) => {
            println!("{answer}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("lichenswitch-fleet: {e}");
            failure
        }
    }
}
