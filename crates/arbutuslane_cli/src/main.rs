//! The `arbutuslane` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    arbutuslane_cli::run(std::env::args_os())
}
