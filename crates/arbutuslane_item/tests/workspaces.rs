//! Changes of workspaces and their API keys.

use std::sync::Arc;

use arbutuslane_item::border;
use arbutuslane_item::check::{Error, check_items};
use arbutuslane_item::prelude::*;

fn workspace(name: &str, version: Version, keys: &[&str]) -> Arc<Item> {
    let keys = keys.iter().map(|key| ApiKey((*key).to_string())).collect();
    let content = Workspace { keys, priority: None, millirate: 0, milliburst: 0 };
    Arc::new(Item {
        key: Key::Workspace(name.to_string()),
        version,
        content: Some(Content::Workspace(content)),
        source: Source::Text(format!("{name} {version}")),
    })
}

fn table(items: &[Arc<Item>]) -> Table {
    let mut table = Table::default();
    table.merge_all(items.to_vec());
    table
}

/// Guards against two workspaces with one key, whose requests could be charged to either.
#[test]
fn check_items_shared_key() {
    let stored = table(&[workspace("a", 1, &["k1", "k2"])]);
    let shared = check_items(&stored, &[workspace("b", 2, &["k3", "k2"])]);
    assert!(matches!(shared, Err(Error::SharedApiKey { .. })), "{shared:?}");
    let both = [workspace("b", 2, &["k3"]), workspace("c", 2, &["k3"])];
    assert!(matches!(check_items(&stored, &both), Err(Error::SharedApiKey { .. })));
    assert_eq!(check_items(&stored, &[workspace("a", 2, &["k1", "k1"])]).map(drop), Ok(()));
}

/// Guards against a refusal of a key that moves between workspaces, or that a removed one held.
#[test]
fn check_items_moved_key() {
    let stored = table(&[workspace("a", 1, &["k1", "k2"])]);
    let moved = [workspace("a", 2, &["k1"]), workspace("b", 2, &["k2"])];
    assert_eq!(check_items(&stored, &moved).map(drop), Ok(()));
    let removal = Arc::new(Item::removal(Key::Workspace("a".to_string()), 2));
    assert_eq!(check_items(&stored, &[removal, workspace("b", 2, &["k2"])]).map(drop), Ok(()));
}

/// Guards against a refusal of an accepted change that is sent again after its key moved on.
#[test]
fn check_items_sent_again() {
    let first = workspace("a", 1, &["k1"]);
    let mut stored = table(&[Arc::clone(&first)]);
    stored.merge_all(vec![workspace("a", 2, &["k2"]), workspace("b", 2, &["k1"])]);
    assert_eq!(check_items(&stored, &[first]).map(drop), Ok(()));
}

/// Guards against keys that no request can carry.
#[test]
fn check_items_invalid_key() {
    let long = "k".repeat(1 << 20);
    for key in ["", " ", "a b", "a\nb", "ä", &long] {
        let checked = check_items(&Table::default(), &[workspace("a", 1, &["k1", key])]);
        assert!(
            matches!(checked, Err(Error::InvalidApiKey { .. })),
            "{}",
            &key[..key.len().min(9)]
        );
    }
}

/// Guards against keys in logs and error messages.
#[test]
fn debug_without_keys() {
    let item = workspace("a", 1, &["secret"]);
    assert!(!format!("{:?}", item.content).contains("secret"));
    let shared = check_items(&table(&[item]), &[workspace("b", 2, &["secret"])]);
    assert!(!shared.unwrap_err().to_string().contains("secret"));
}

/// Guards against workspaces that change on their way between processes.
#[test]
fn encode_workspace() {
    let item = workspace("a", 7, &["k1", "k2"]);
    let decoded = border::decode(border::encode(&[Arc::clone(&item)]));
    assert_eq!(decoded, [item]);
}
