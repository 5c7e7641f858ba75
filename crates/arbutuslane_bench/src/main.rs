//! The program `arbutuslane-bench`.

use std::process::ExitCode;

fn main() -> miette::Result<ExitCode> {
    arbutuslane_bench::command::execute()
}
