//! The committed settings page and the tables from which it is generated.

use heatherknot_settings::page::{COMMAND, settings_page};
use heatherknot_settings::table::{INHERITED, Key};

// The settings page must be regenerated when a table changes.
#[test]
fn committed_page_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/SETTINGS.md");

    let committed = std::fs::read_to_string(path).unwrap();

    assert!(
        committed == settings_page(),
        "docs/SETTINGS.md is stale; run `{COMMAND}`"
    );
}

// A missing default would silently be read as zero.
#[test]
fn every_inherited_setting_has_a_valid_default() {
    for (key, field) in Key::ALL.into_iter().zip(&INHERITED) {
        let default = field.default_value().unwrap();

        let read = field.read(&heatherknot_settings::effective::to_json(&default));

        assert_eq!(read, Ok(default));
        assert_eq!(Key::find(field.key), Some(key));
    }
}
