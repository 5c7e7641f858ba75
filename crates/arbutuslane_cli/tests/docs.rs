//! Checks that the documentation for operators matches the code.

use std::path::Path;

use arbutuslane_cli::args;
use arbutuslane_event::kind::{Kind, Level};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(name);
    std::fs::read_to_string(&path).unwrap()
}

/// Guards against an event that is not documented, and against one that requires action but has no
/// runbook.
#[test]
fn operations_all_kinds() {
    let text = page("docs/OPERATIONS.md");
    for (name, level) in Kind::NAMES.iter().zip(Kind::LEVELS) {
        assert!(text.contains(&format!("| `{name}` |")), "{name} is not in the table");
        if *level == Level::Action {
            assert!(text.contains(&format!("### {name}\n")), "{name} has no runbook");
        }
    }
}

/// Guards against a log event that is not documented.
#[test]
fn operations_all_lines() {
    let text = page("docs/OPERATIONS.md");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = 0;
    for folder in ["crates/arbutuslane_node/src", "crates/arbutuslane_control/src/items"] {
        for source in sources(&root.join(folder)) {
            for rest in source.split("event = \"").skip(1) {
                let name = rest.split('"').next().unwrap_or_default();
                found += 1;
                assert!(text.contains(&format!("`{name}`")), "{name} is not in the table");
            }
        }
    }
    assert!(found >= 15, "{found}");
}

/// Returns the texts of all Rust files in a folder and its subfolders.
fn sources(folder: &Path) -> Vec<String> {
    let mut texts = Vec::new();
    for item in std::fs::read_dir(folder).unwrap() {
        let path = item.unwrap().path();
        if path.is_dir() {
            texts.extend(sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            texts.push(std::fs::read_to_string(&path).unwrap());
        }
    }
    texts
}

/// Guards against a documented command that the program does not accept.
#[test]
fn pages_commands() {
    let mut found = 0;
    for name in [
        "README.md",
        "examples/README.md",
        "docs/catalogue.md",
        "docs/OPERATIONS.md",
        "docs/install.md",
    ] {
        let text = page(name);
        let mut in_code_block = false;
        for line in text.lines().map(str::trim) {
            if line.starts_with("```") {
                in_code_block = !in_code_block;
                continue;
            }
            let command = line.strip_prefix("target/release/").unwrap_or(line);
            if !in_code_block || !command.starts_with("arbutuslane ") {
                continue;
            }
            found += 1;
            let words = command.split_whitespace().take_while(|word| *word != ">");
            if let Err(error) = args::command().try_get_matches_from(words) {
                panic!("{name}: {line}: {error}");
            }
        }
    }
    assert!(found >= 7, "{found}");
}

/// Guards against a settings page that lacks a key or describes one that the program rejects.
#[test]
fn settings_all_keys() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.json");
    // The error message about an unknown key lists all valid keys.
    std::fs::write(&path, "{\"no-such-key\": 1}").unwrap();
    let control = arbutuslane_control::settings::Settings::load(&path).unwrap_err().to_string();
    let items = arbutuslane_control::items::settings::Settings::load(&path);
    let items = items.unwrap_err().to_string();
    let node = arbutuslane_node::settings::Settings::read(&path).unwrap_err().to_string();
    let operator = arbutuslane_cli::settings::Settings::read(&path).unwrap_err().to_string();
    let text = page("docs/settings.md");
    for (title, message) in [
        ("## arbutuslane-control\n", control),
        ("## Control instance for items\n", items),
        ("## arbutuslane-node\n", node),
        ("## arbutuslane\n", operator),
    ] {
        let (_, valid_keys) = message.split_once("expected one of").unwrap();
        let mut valid_keys: Vec<&str> = valid_keys.split('`').skip(1).step_by(2).collect();
        valid_keys.sort_unstable();
        let (_, section) = text.split_once(title).unwrap();
        let section = section.split("\n## ").next().unwrap();
        let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
        let mut documented_keys: Vec<&str> = rows.filter_map(|row| row.split('`').next()).collect();
        documented_keys.sort_unstable();
        assert_eq!(documented_keys, valid_keys, "{title}");
    }
}
