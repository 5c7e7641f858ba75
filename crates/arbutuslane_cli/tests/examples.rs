//! Checks that the files in `examples/` are valid.

use std::path::{Path, PathBuf};

use arbutuslane_cli::files;
use arbutuslane_cli::settings::Settings;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Guards against an example catalogue that the current release rejects.
#[test]
fn catalogue_valid() {
    let catalogue = files::read(&[examples().join("catalogue")]).unwrap();
    assert_eq!(catalogue.findings, []);
    let mut services: Vec<&str> =
        catalogue.entries.iter().map(|entry| entry.service.as_str()).collect();
    services.sort_unstable();
    assert_eq!(services, ["agenda", "archives", "bookings", "reports", "slots", "vitrine"]);
}

/// Guards against example settings of the command line that the current release rejects.
#[test]
fn settings_valid() {
    let settings = Settings::read(&examples().join("arbutuslane.json")).unwrap();
    assert_eq!(settings.controls.len(), 3);
}

/// Guards against example settings of the daemons that the current release rejects.
#[test]
fn settings_daemons() {
    let control = arbutuslane_control::settings::Settings::load(&examples().join("control.json"));
    assert_eq!(control.unwrap().members.len(), 3);
    let node = arbutuslane_node::settings::Settings::read(&examples().join("node.json"));
    assert_eq!(node.unwrap().control.len(), 3);
}
