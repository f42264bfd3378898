//! The page `docs/EVENTS.md`, made from the catalogue.

use std::fmt::Write;

use crate::Event;

const HEADER: &str = "# Events

Generated from the catalogue in `crates/telemetry/src/catalogue/mod.rs` by
`cargo run -p umberpond-telemetry --example events_page > docs/EVENTS.md`; a test compares the two.
A number is never used again for another event. In JSON logs the number stands in `kvs.event`, the short name
in `kvs.name`, and each field under its own name.
";

const RANGES: &[(u16, &str)] =
    &[(1, "Program"), (2, "Configuration and membership"), (3, "Back ends"), (4, "Requests"), (5, "Store")];

const NUMBERS_PER_RANGE: u16 = 1_000;

/// The text of `docs/EVENTS.md`.
#[must_use]
pub fn catalogue_page() -> String {
    let mut page = String::from(HEADER);
    for (range, title) in RANGES {
        page.push_str(&section(*range, title));
    }
    page
}

fn section(range: u16, title: &str) -> String {
    let mut section = format!(
        "\n## {range}xxx: {title}\n\n| number | level | name | fields | meaning |\n|---|---|---|---|---|\n"
    );
    let entries = Event::CATALOGUE.iter().filter(|entry| entry.number / NUMBERS_PER_RANGE == range);
    for entry in entries {
        let fields = entry.fields.iter().map(|field| format!("`{field}`")).collect::<Vec<_>>().join(", ");
        // Writing to a string can't fail.
        let _ = writeln!(
            section,
            "| {} | {} | `{}` | {fields} | {} |",
            entry.number,
            entry.severity.name(),
            entry.slug,
            entry.meaning
        );
    }
    section
}
