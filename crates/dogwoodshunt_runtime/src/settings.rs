//! Reading of settings files: JSON with comments.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use std::fs;
use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// Shortest shared key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Why a settings file is refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("settings file {path}: {source}"))]
    Read {
        /// The file.
        path: Box<str>,
        /// What the system says.
        source: io::Error,
    },
    /// A field is malformed or unknown.
    #[snafu(display("{path}:{line}:{column}: field {field}: {message}"))]
    Parse {
        /// The file.
        path: Box<str>,
        /// Line in the file, from 1.
        line: usize,
        /// Column in the line, from 1.
        column: usize,
        /// Path of the field.
        field: Box<str>,
        /// What is wrong.
        message: Box<str>,
    },
    /// A value is out of range or does not fit the others.
    #[snafu(display("{path}:{line}: field {field}: {message}"))]
    Invalid {
        /// The file.
        path: Box<str>,
        /// Line in the file, from 1.
        line: usize,
        /// Path of the field.
        field: Box<str>,
        /// What is wrong and how to mend it.
        message: Box<str>,
    },
}

/// A value that does not fit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Misfit {
    /// Path of the field, such as `limits.queue`.
    pub field: Box<str>,
    /// What is wrong and how to mend it.
    pub message: Box<str>,
}

impl Misfit {
    /// Creates a misfit of `field`.
    pub fn new(field: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            field: field.into(),
            message: message.into(),
        }
    }
}

/// Settings that check themselves once they are read.
pub trait Checked: DeserializeOwned {
    /// Returns the first value that is out of range.
    ///
    /// # Errors
    ///
    /// Names the field, and how to mend it.
    fn check(&self) -> Result<(), Misfit>;
}

/// Reads and checks the settings in `path`.
///
/// # Errors
///
/// Names the file, the line, the field and how to mend it.
pub fn read<T: Checked>(path: &Path) -> Result<T, SettingsError> {
    let name: Box<str> = path.display().to_string().into();
    let text = fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
    parse(&name, &text)
}

/// Parses and checks settings from `text`; `name` stands for the file in errors.
///
/// # Errors
///
/// As [`read`].
pub fn parse<T: Checked>(name: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = parse_unchecked(name, text)?;
    settings.check().map_err(|misfit| SettingsError::Invalid {
        path: name.into(),
        line: line_of(text, &misfit.field),
        field: misfit.field,
        message: misfit.message,
    })?;
    Ok(settings)
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Names the file, the line and the field.
pub fn parse_unchecked<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, SettingsError> {
    let mut stripped = String::with_capacity(text.len());
    json_comments::StripComments::new(text.as_bytes())
        .read_to_string(&mut stripped)
        .context(ReadSnafu { path: name })?;
    let mut deserializer = serde_json::Deserializer::from_str(&stripped);
    let parsed = serde_path_to_error::deserialize(&mut deserializer);
    let parsed = parsed.map_err(|error| parse_error(name, &error))?;
    deserializer.end().map_err(|error| SettingsError::Parse {
        path: name.into(),
        line: error.line(),
        column: error.column(),
        field: "(end of file)".into(),
        message: error.to_string().into(),
    })?;
    Ok(parsed)
}

fn parse_error(name: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> SettingsError {
    SettingsError::Parse {
        path: name.into(),
        line: error.inner().line(),
        column: error.inner().column(),
        field: error.path().to_string().into(),
        message: error.inner().to_string().into(),
    }
}

/// Returns the line on which the last part of `field` stands, or 1.
fn line_of(text: &str, field: &str) -> usize {
    let last = field.rsplit('.').next().unwrap_or(field);
    let name = last.split('[').next().unwrap_or(last);
    let quoted = format!("\"{name}\"");
    let lines = text.lines().enumerate();
    let mut found = lines.filter(|(_, line)| line.contains(&quoted));
    found.next().map_or(1, |(index, _)| index + 1)
}

/// Who this process is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the process, unique among all; the host list uses the same name.
    pub name: Box<str>,
    /// Failure domain that the host stands in.
    pub failure_domain: Box<str>,
    /// Region of the failure domain.
    #[serde(default)]
    pub region: Box<str>,
}

impl NodeSettings {
    /// Checks the names.
    ///
    /// # Errors
    ///
    /// Names the field that is no name.
    pub fn check(&self) -> Result<(), Misfit> {
        for (field, text) in [
            ("node.name", &self.name),
            ("node.failure_domain", &self.failure_domain),
        ] {
            if !dogwoodshunt_types::adapter::is_valid_name(text) {
                let message = "must be 1 to 128 letters, digits, '-', '_' or '.'";
                return Err(Misfit::new(field, message));
            }
        }
        Ok(())
    }
}

/// Where logs and metrics go.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TelemetrySettings {
    /// Most detailed level that is logged: `error`, `warning`, `info` or `debug`.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Address of a StatsD server; no metrics are sent where it is left out.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Detail for developers.
    Debug,
    /// Something failed.
    Error,
    /// Normal events.
    #[default]
    Info,
    /// Something is wrong but handled.
    Warning,
}

/// Checks that a millisecond setting lies between `least` and `most`.
///
/// # Errors
///
/// Names the field and the range.
pub fn check_range(field: &str, value: u64, least: u64, most: u64) -> Result<(), Misfit> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    let message = format!("{value} is out of range; use {least} to {most}");
    Err(Misfit::new(field, message))
}

/// Checks the length of a shared key; the message does not show it.
///
/// # Errors
///
/// Refuses a key that is too short.
pub fn check_key(key: &str) -> Result<(), Misfit> {
    if key.len() >= MIN_KEY_BYTES {
        return Ok(());
    }
    let message = format!("is too short; use at least {MIN_KEY_BYTES} random characters");
    Err(Misfit::new("shared_key", message))
}
