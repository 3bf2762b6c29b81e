//! The `pinhaven` program.
//!
//! Everything it does is in the crates; this file only hands over the words of the command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    pinhaven_command::run(std::env::args_os())
}
