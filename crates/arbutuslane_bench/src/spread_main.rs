//! The program `arbutuslane-spread`.

fn main() -> miette::Result<()> {
    arbutuslane_bench::spread::command::execute()
}
