//! The `arbutuslane-control` program.

fn main() -> miette::Result<()> {
    arbutuslane_control::daemon::main()
}
