//! The `arbutuslane-standin` program.

fn main() -> miette::Result<()> {
    arbutuslane_standin::run::from_arguments()
}
