//! Help for one subcommand, extracted from the help that `xflags` generates for all of them.

/// Name of the program, which starts each section of the help.
const PROGRAM: &str = "umberpond";

/// Returns the help for the subcommand named `argument`, or an overview of all of them.
pub(super) fn help_for(whole: &str, argument: Option<&str>) -> String {
    let sections = sections(whole);
    let wanted = argument.map(|name| format!("{PROGRAM} {name}"));
    let found = sections.iter().find(|section| wanted.as_deref() == section.lines().next());
    match found {
        Some(section) => section.trim_end().to_owned(),
        None => overview(&sections),
    }
}

/// Splits the help at each line that starts with the program's name.
fn sections(whole: &str) -> Vec<String> {
    let mut sections: Vec<String> = Vec::new();
    for line in whole.lines() {
        if line.starts_with(PROGRAM) || sections.is_empty() {
            sections.push(String::new());
        }
        if let Some(section) = sections.last_mut() {
            section.push_str(line);
            section.push('\n');
        }
    }
    sections
}

/// Returns the program's own section, then name and purpose of each subcommand.
fn overview(sections: &[String]) -> String {
    let Some((own, subcommands)) = sections.split_first() else { return String::new() };
    let mut overview = own.trim_end().to_owned();
    for section in subcommands {
        let mut lines = section.lines();
        let title = lines.next().unwrap_or_default();
        let purpose = lines.next().unwrap_or_default().trim();
        overview.push_str(&format!("\n  {title}\n      {purpose}"));
    }
    overview
}
