//! The `pinhaven` program.
//!
//! Passes the command-line arguments to `pinhaven-command`; all logic is in the crates.

use std::process::ExitCode;

fn main() -> ExitCode {
    pinhaven_command::run(std::env::args_os())
}
