//! Flags that take precedence over the settings file.

/// One command line flag that overrides one settings key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsOverride {
    /// The key, with dots between its parts, such as `listen.admin`.
    pub key: &'static str,
    /// The flag as the operator typed it, such as `--admin`.
    pub flag: &'static str,
    /// The value as text; the values of a list are separated by commas.
    pub value: String,
}
