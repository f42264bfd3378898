//! The text form of a plan, with the warnings first.

use std::fmt::{self, Display};

use super::{Changes, NewLocalities, Plan, Subject};

impl Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return formatter.write_str("nothing changes\n");
        }
        for new in &self.new_localities {
            writeln!(formatter, "WARNING: {new}")?;
        }
        write_changes(formatter, "locality", &self.localities)?;
        write_changes(formatter, "service", &self.services)?;
        write_changes(formatter, "route", &self.routes)?;
        write_changes(formatter, "secret", &self.secrets)?;
        for scope in &self.scopes {
            writeln!(formatter, "nodes of service {}: {} bytes each", scope.service, scope.delta_bytes)?;
        }
        writeln!(formatter, "relays and readers: {} bytes each", self.full_delta_bytes)
    }
}

impl Display for NewLocalities {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.subject {
            Subject::Service(service) => write!(formatter, "traffic to service {service}")?,
            Subject::Route(route) => write!(formatter, "traffic of route {route}")?,
        }
        let localities: Vec<String> = self.localities.iter().map(ToString::to_string).collect();
        write!(formatter, " would be allowed in a new locality: {}", localities.join(", "))
    }
}

fn write_changes<K: Display>(
    formatter: &mut fmt::Formatter<'_>,
    kind: &str,
    changes: &Changes<K>,
) -> fmt::Result {
    for name in &changes.added {
        writeln!(formatter, "+ {kind} {name}")?;
    }
    for name in &changes.removed {
        writeln!(formatter, "- {kind} {name}")?;
    }
    for name in &changes.changed {
        writeln!(formatter, "~ {kind} {name}")?;
    }
    Ok(())
}
