//! Errors in settings.

use std::fmt;

use serde::de::DeserializeOwned;

/// The kind of an error in settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsErrorKind {
    /// The text is not TOML, a key is unknown or missing, or a value has the wrong type.
    Malformed,
    /// The value has the right type but isn't valid.
    InvalidValue,
    /// Two settings contradict each other.
    Conflict,
}

/// An error in one setting, with its key, its line and the values allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    kind: SettingsErrorKind,
    key: String,
    line: Option<usize>,
    message: String,
}

impl SettingsError {
    /// Creates an error about the value of `key`, which should be one of `allowed`.
    pub fn new(
        kind: SettingsErrorKind,
        key: &str,
        value: impl fmt::Display,
        allowed: &str,
    ) -> Self {
        Self {
            kind,
            key: key.to_owned(),
            line: None,
            message: format!("invalid value `{value}`, expected {allowed}"),
        }
    }

    /// Returns the kind of error.
    pub fn kind(&self) -> SettingsErrorKind {
        self.kind
    }

    /// Returns the key; empty if the text isn't valid TOML.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the line, counted from 1, if known.
    pub fn line(&self) -> Option<usize> {
        self.line
    }

    /// Finds the line of the key with the invalid value.
    #[must_use]
    pub fn locate(mut self, text: &str) -> Self {
        let value = self.message.split('`').nth(1).unwrap_or_default();
        let mentions = |line: &&str| line.trim_start().starts_with(&self.key);
        let exact = text.lines().position(|line| mentions(&line) && line.contains(value));
        let any = || text.lines().position(|line| mentions(&line));
        self.line = exact.or_else(any).map(|index| index + 1);
        self
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.key.is_empty() {
            write!(f, "key `{}`: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// Parses settings from TOML.
///
/// # Errors
///
/// Returns a [`SettingsError`] with the key and line.
pub fn settings_from_toml<T: DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|err| from_toml_error(&err, text))
}

fn from_toml_error(err: &toml::de::Error, text: &str) -> SettingsError {
    let start = err.span().map(|span| span.start);
    let line = start.map(|at| text[..at].matches('\n').count() + 1);
    let written = || {
        let line = text.lines().nth(line? - 1)?;
        line.split_once('=').map(|(key, _)| key.trim().to_owned())
    };
    let key = missing_key(err.message()).or_else(written);
    SettingsError {
        kind: SettingsErrorKind::Malformed,
        key: key.unwrap_or_default(),
        line,
        message: err.message().to_owned(),
    }
}

/// Returns the key that an error message reports as missing, since it has no line to be read from.
fn missing_key(message: &str) -> Option<String> {
    let rest = message.strip_prefix("missing field `")?;
    rest.split('`').next().map(str::to_owned)
}
