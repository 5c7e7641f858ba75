//! The `arbutuslane-node` program.

fn main() -> miette::Result<()> {
    arbutuslane_node::run::from_arguments()
}
