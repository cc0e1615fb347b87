//! The settings reference page, generated from the setting tables.

use std::fmt::Write as _;

use crate::field::{Fallback, Field, Kind};
use crate::table::{self, Key};
use crate::tree::SCHEMA;

/// The command that regenerates the page.
pub const COMMAND: &str =
    "cargo run -q -p heatherknot-settings --example settings-page > docs/SETTINGS.md";

/// Returns the settings reference as Markdown.
pub fn settings_page() -> String {
    let mut page = String::new();
    // Writing to a `String` can't fail.
    let _ = writeln!(
        page,
        "# Settings\n\nGenerated from the setting tables by `{COMMAND}`; a test compares the two. \
         Schema version {SCHEMA}: the root object holds `schema`, `platform`, `defaults`, \
         `accounts` and `operators`."
    );
    write_inherited(&mut page);
    for (path, fields) in object_tables() {
        let _ = writeln!(page, "\n## `{path}`\n");
        write_rows(&mut page, fields.iter());
    }
    page
}

fn object_tables() -> [(&'static str, &'static [Field]); 7] {
    [
        ("platform/regions/<region>", &table::REGION),
        ("platform/domains/<failure domain>", &table::DOMAIN),
        ("platform/links/<from region>/<to region>", &table::LINK),
        ("platform/places/<place>", &table::PLACE),
        ("platform/quotas/<account path with . for />", &table::QUOTA),
        ("operators/<key id>", &table::OPERATOR),
        (
            "<account>/services/<service>/upstreams/<upstream>",
            &table::UPSTREAM,
        ),
    ]
}

fn write_inherited(page: &mut String) {
    let _ = writeln!(
        page,
        "\n## Inherited settings\n\nSet in `defaults` of the root or an account, or in \
         `services/<service>`; the nearest value on the way up holds. `platform/limits` takes the \
         number settings as keys: no branch may set more than the limit there.\n"
    );
    write_rows(page, Key::ALL.iter().map(|key| key.field()));
    let _ = writeln!(
        page,
        "\n`account_share_permille` is set for accounts, not for services."
    );
}

fn write_rows<'a>(page: &mut String, fields: impl Iterator<Item = &'a Field>) {
    let _ = writeln!(
        page,
        "| key | value | unit | default | meaning |\n|---|---|---|---|---|"
    );
    for field in fields {
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} | {} |",
            field.key,
            value_range(field),
            field.unit,
            default_text(field),
            field.doc
        );
    }
}

fn value_range(field: &Field) -> String {
    match field.kind {
        Kind::Integer { min, max } => format!("{min} to {max}"),
        _ => field.expected(),
    }
}

fn default_text(field: &Field) -> String {
    match field.fallback {
        Fallback::Required => "required".to_string(),
        Fallback::Number(number) => number.to_string(),
        Fallback::Flag(flag) => flag.to_string(),
        Fallback::Word(word) => format!("`{word}`"),
        Fallback::List([]) => "empty".to_string(),
        Fallback::List(items) => items
            .iter()
            .map(|item| format!("`{item}`"))
            .collect::<Vec<String>>()
            .join(", "),
    }
}
