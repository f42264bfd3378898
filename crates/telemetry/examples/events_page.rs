//! Prints the contents of `docs/EVENTS.md`.

fn main() {
    print!("{}", umberpond_telemetry::catalogue_page());
}
