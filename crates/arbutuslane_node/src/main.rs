//! The `arbutuslane-node` program.

use arbutuslane_node::interface::Native;

fn main() -> miette::Result<()> {
    arbutuslane_node::run::from_arguments("arbutuslane-node", std::sync::Arc::new(Native))
}
