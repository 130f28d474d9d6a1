//! A fleet of three machines on loopback, shown in one command:
//! `lichenswitch-demo [--program PATH]`. Without a path, the program `lichenswitch-fleet` beside
//! this one is taken.
#![forbid(unsafe_code)]

use lichenswitch_emulators::fleet_processes::demonstration;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "usage: lichenswitch-demo [--program PATH]";

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    let program = match arguments.as_slice() {
        [] => beside(),
        [flag, path] if flag == "--program" => PathBuf::from(path),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match demonstration::run(&program, &mut std::io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lichenswitch-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("lichenswitch-fleet")
}
