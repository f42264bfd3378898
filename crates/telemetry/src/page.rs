//! Generates `docs/EVENTS.md` from the catalogue.

use std::fmt::Write;

use crate::Event;

const HEADER: &str = "# Events

Generated from the catalogue in `crates/telemetry/src/catalogue/mod.rs` by
`cargo run -p umberpond-telemetry --example events_page > docs/EVENTS.md`; a test compares the two.
A number is never reused for another event. In JSON logs, `kvs.event` holds the number, `kvs.name` the short name,
and each field is a key of its own in `kvs`.
";

const RANGES: &[(u16, &str)] =
    &[(1, "Program"), (2, "Configuration and membership"), (3, "Back ends"), (4, "Requests"), (5, "Store")];

const NUMBERS_PER_RANGE: u16 = 1_000;

/// Returns the text of `docs/EVENTS.md`.
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
        // Writing to a `String` can't fail.
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
