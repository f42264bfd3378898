//! Flags that win over the settings file.

/// One flag of the command line, given for one key of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsOverride {
    /// The key, with dots between its parts, such as `listen.admin`.
    pub key: &'static str,
    /// The flag as the operator typed it, such as `--admin`.
    pub flag: &'static str,
    /// The value as text; several values of a list are separated by commas.
    pub value: String,
}
