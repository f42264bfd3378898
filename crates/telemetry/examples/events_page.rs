//! Prints `docs/EVENTS.md`.

fn main() {
    print!("{}", umberpond_telemetry::catalogue_page());
}
