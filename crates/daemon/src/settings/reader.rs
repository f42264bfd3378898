//! Reads individual settings from the file and the flags, and collects all faults instead of stopping at the
//! first.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use miette::NamedSource;
use toml::Spanned;
use toml::de::{DeTable, DeValue};
use umberpond_model::InvalidName;

use super::fault::{FaultKind, Origin, SettingsFault};
use super::{SettingsOverride, SettingsReport, parse_duration};

/// A value and its origin.
#[derive(Debug, Clone)]
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) origin: Origin,
}

/// Reads settings from one settings file and the flags.
pub(super) struct SettingsReader<'a> {
    document: &'a DeTable<'a>,
    source: Option<Arc<NamedSource<String>>>,
    overrides: &'a [SettingsOverride],
    known: Vec<&'static str>,
    faults: Vec<SettingsFault>,
}

impl<'a> SettingsReader<'a> {
    pub(super) fn new(
        document: &'a DeTable<'a>,
        source: Option<Arc<NamedSource<String>>>,
        overrides: &'a [SettingsOverride],
    ) -> Self {
        Self { document, source, overrides, known: Vec::new(), faults: Vec::new() }
    }

    /// Records a fault.
    pub(super) fn fault(&mut self, kind: FaultKind, origin: Origin) {
        self.faults.push(SettingsFault::new(kind, origin, self.source.clone()));
    }

    /// Whether no fault has been recorded so far.
    pub(super) fn has_no_faults(&self) -> bool {
        self.faults.is_empty()
    }

    /// All faults, ordered by line.
    pub(super) fn into_report(mut self) -> SettingsReport {
        self.faults.sort_by_key(SettingsFault::line);
        SettingsReport { faults: self.faults }
    }

    /// The entry for `key` in the file, regardless of flags.
    pub(super) fn entry(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.push(key);
        let document: &'a DeTable<'a> = self.document;
        lookup(document, key)
    }

    fn flag(&self, key: &str) -> Option<&'a SettingsOverride> {
        self.overrides.iter().rev().find(|setting| setting.key == key)
    }

    /// Reads a text; `None` if it is absent or has the wrong type.
    pub(super) fn text(&mut self, key: &'static str) -> Option<Located<String>> {
        let entry = self.entry(key);
        if let Some(setting) = self.flag(key) {
            return Some(Located { value: setting.value.clone(), origin: Origin::Flag(setting.flag) });
        }
        let entry = entry?;
        match entry.get_ref() {
            DeValue::String(text) => {
                Some(Located { value: text.to_string(), origin: Origin::File(entry.span()) })
            }
            other => self.wrong_type(key, "a text in quotes", other, entry),
        }
    }

    /// Reads a boolean; `None` if it is absent or has the wrong type.
    pub(super) fn boolean(&mut self, key: &'static str) -> Option<Located<bool>> {
        let entry = self.entry(key);
        if let Some(setting) = self.flag(key) {
            return Some(Located { value: setting.value == "true", origin: Origin::Flag(setting.flag) });
        }
        let entry = entry?;
        match entry.get_ref() {
            DeValue::Boolean(value) => Some(Located { value: *value, origin: Origin::File(entry.span()) }),
            other => self.wrong_type(key, "true or false", other, entry),
        }
    }

    /// Reads an integer between `min` and `max`; `default` if it is absent.
    pub(super) fn integer_between(
        &mut self,
        key: &'static str,
        min: u32,
        max: u32,
        default: u32,
    ) -> Option<u32> {
        let Some(entry) = self.entry(key) else { return Some(default) };
        let DeValue::Integer(integer) = entry.get_ref() else {
            return self.wrong_type(key, "a whole number", entry.get_ref(), entry);
        };
        let text = integer.to_string();
        let value = text.parse().ok().filter(|value| (min..=max).contains(value));
        if value.is_none() {
            let origin = Origin::File(entry.span());
            let (min, max) = (u64::from(min), u64::from(max));
            self.fault(FaultKind::OutOfRange { key, value: text, min, max }, origin);
        }
        value
    }

    /// Reads a number between `min` and `max`; `default` if it is absent.
    pub(super) fn decimal(&mut self, key: &'static str, min: u64, max: u64, default: f64) -> Option<f64> {
        let Some(entry) = self.entry(key) else { return Some(default) };
        let text = match entry.get_ref() {
            DeValue::Integer(integer) => integer.to_string(),
            DeValue::Float(float) => float.to_string(),
            other => return self.wrong_type(key, "a number", other, entry),
        };
        let range = to_f64(min)..=to_f64(max);
        let value = text.parse().ok().filter(|value| range.contains(value));
        if value.is_none() {
            let origin = Origin::File(entry.span());
            self.fault(FaultKind::OutOfRange { key, value: text, min, max }, origin);
        }
        value
    }

    /// Reads a required name.
    pub(super) fn name<N: FromStr<Err = InvalidName>>(&mut self, key: &'static str) -> Option<Located<N>> {
        let text = self.required_text(key)?;
        match text.value.parse() {
            Ok(value) => Some(Located { value, origin: text.origin }),
            Err(invalid) => {
                self.fault(FaultKind::Name(invalid), text.origin);
                None
            }
        }
    }

    /// Reads an address; `None` without a fault if it is absent.
    pub(super) fn address(&mut self, key: &'static str) -> Option<Located<SocketAddr>> {
        let text = self.text(key)?;
        self.parse_address(key, &text.value, text.origin)
    }

    /// Reads a required address.
    pub(super) fn required_address(&mut self, key: &'static str) -> Option<Located<SocketAddr>> {
        let text = self.required_text(key)?;
        self.parse_address(key, &text.value, text.origin)
    }

    fn parse_address(
        &mut self,
        key: &'static str,
        text: &str,
        origin: Origin,
    ) -> Option<Located<SocketAddr>> {
        if let Ok(value) = text.parse() {
            return Some(Located { value, origin });
        }
        self.fault(FaultKind::Address { key, value: text.to_owned() }, origin);
        None
    }

    /// Reads a duration; `default` if it is absent.
    pub(super) fn duration(&mut self, key: &'static str, default: Duration) -> Option<Duration> {
        let Some(text) = self.text(key) else { return Some(default) };
        match parse_duration(&text.value) {
            Ok(duration) => Some(duration),
            Err(source) => {
                self.fault(FaultKind::Duration { key, value: text.value, source }, text.origin);
                None
            }
        }
    }

    /// Reads one of a fixed set of choices; `default` if it is absent.
    pub(super) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&str, T)],
        allowed: &'static str,
        default: T,
    ) -> Option<T> {
        let Some(text) = self.text(key) else { return Some(default) };
        let choice = choices.iter().find(|(name, _)| *name == text.value).map(|(_, choice)| *choice);
        if choice.is_none() {
            self.fault(FaultKind::Choice { key, value: text.value, allowed }, text.origin);
        }
        choice
    }

    fn required_text(&mut self, key: &'static str) -> Option<Located<String>> {
        if self.flag(key).is_none() && lookup(self.document, key).is_none() {
            self.known.push(key);
            self.fault(FaultKind::Missing { key }, Origin::Nowhere);
            return None;
        }
        self.text(key)
    }

    /// Records a value of the wrong type.
    pub(super) fn wrong_type<T>(
        &mut self,
        key: &'static str,
        expected: &'static str,
        found: &DeValue<'_>,
        entry: &Spanned<DeValue<'_>>,
    ) -> Option<T> {
        let kind = FaultKind::WrongType { key, expected, found: found.type_str() };
        self.fault(kind, Origin::File(entry.span()));
        None
    }

    /// Records every key of the file that no setting was read from.
    pub(super) fn check_unknown_keys(&mut self) {
        let document: &'a DeTable<'a> = self.document;
        let mut unknown = Vec::new();
        collect_unknown(document, "", &self.known, &mut unknown);
        for (key, origin) in unknown {
            let nearest = nearest_key(&key, &self.known);
            self.fault(FaultKind::UnknownKey { key, nearest }, origin);
        }
    }
}

fn to_f64(limit: u64) -> f64 {
    f64::from(u32::try_from(limit).unwrap_or(u32::MAX))
}

fn lookup<'a>(document: &'a DeTable<'a>, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
    let (first, rest) = match key.split_once('.') {
        Some((first, rest)) => (first, Some(rest)),
        None => (key, None),
    };
    let entry = document.get(first)?;
    match rest {
        None => Some(entry),
        Some(rest) => lookup(entry.get_ref().as_table()?, rest),
    }
}

fn collect_unknown(table: &DeTable<'_>, prefix: &str, known: &[&str], unknown: &mut Vec<(String, Origin)>) {
    for (key, entry) in table.iter() {
        let path =
            if prefix.is_empty() { key.get_ref().to_string() } else { format!("{prefix}.{}", key.get_ref()) };
        if known.contains(&path.as_str()) {
            continue;
        }
        let inner_prefix = format!("{path}.");
        let is_section = known.iter().any(|known| known.starts_with(&inner_prefix));
        match entry.get_ref().as_table() {
            Some(inner) if is_section => collect_unknown(inner, &path, known, unknown),
            _ => unknown.push((path, Origin::File(key.span()))),
        }
    }
}

/// Maximum edit distance between an unknown key and the key suggested for it.
const SUGGESTION_DISTANCE: usize = 4;

fn nearest_key(key: &str, known: &[&'static str]) -> Option<&'static str> {
    let (distance, nearest) = known.iter().map(|known| (edit_distance(key, known), *known)).min()?;
    (distance <= SUGGESTION_DISTANCE).then_some(nearest)
}

/// Levenshtein distance between two short texts.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (line, left_character) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, right_character) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(left_character != *right_character);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
