//! Parsing and validation of settings files, which are JSON with comments.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;
use std::fs;
use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

/// Minimum length of the shared key, in bytes.
const MIN_SHARED_KEY_BYTES: usize = 16;

/// Error from reading a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("read settings file {path}: {source}"))]
    Read {
        /// Path of the file.
        path: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON, or a field is malformed or unknown.
    #[snafu(display("{path}:{line}:{column}: field {field}: {message}"))]
    Parse {
        /// Path of the file.
        path: Box<str>,
        /// Line number, from 1.
        line: usize,
        /// Column number, from 1.
        column: usize,
        /// Path of the field, such as `limits.queue`.
        field: Box<str>,
        /// Error of the JSON parser.
        message: Box<str>,
    },
    /// A value is out of range or inconsistent with other values.
    #[snafu(display("{path}:{line}: field {field}: {message}"))]
    Invalid {
        /// Path of the file.
        path: Box<str>,
        /// Line number, from 1.
        line: usize,
        /// Path of the field, such as `limits.queue`.
        field: Box<str>,
        /// Defect of the value and how to correct it.
        message: Box<str>,
    },
}

/// Setting that is out of range or inconsistent with other settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidSetting {
    /// Path of the field, such as `limits.queue`.
    pub field: Box<str>,
    /// Defect of the value and how to correct it.
    pub message: Box<str>,
}

impl InvalidSetting {
    /// Creates an error for the setting at path `field`.
    pub fn new(field: &str, message: impl Into<Box<str>>) -> Self {
        Self {
            field: field.into(),
            message: message.into(),
        }
    }
}

/// Settings with rules beyond the types of their fields.
pub trait ValidateSettings: DeserializeOwned {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first field that is invalid, and how to correct it.
    fn validate(&self) -> Result<(), InvalidSetting>;
}

/// Reads, parses and validates the settings file at `path`.
///
/// # Errors
///
/// Fails if the file cannot be read or its settings are invalid. The error names the file, the
/// line, the field and how to correct it.
pub fn read<T: ValidateSettings>(path: &Path) -> Result<T, SettingsError> {
    let name: Box<str> = path.display().to_string().into();
    let text = fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
    parse(&name, &text)
}

/// Parses and validates settings from `text`; errors name the file as `name`.
///
/// # Errors
///
/// Fails if the settings are malformed or invalid; the error names the line, the field and how to
/// correct it.
pub fn parse<T: ValidateSettings>(name: &str, text: &str) -> Result<T, SettingsError> {
    let settings: T = parse_without_validation(name, text)?;
    settings
        .validate()
        .map_err(|invalid| SettingsError::Invalid {
            path: name.into(),
            line: line_of(text, &invalid.field),
            field: invalid.field,
            message: invalid.message,
        })?;
    Ok(settings)
}

/// Parses JSON with comments from `text`, without validation; errors name the file as `name`.
///
/// # Errors
///
/// Fails if the text is malformed; the error names the line and the field.
pub fn parse_without_validation<T: DeserializeOwned>(
    name: &str,
    text: &str,
) -> Result<T, SettingsError> {
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

/// Returns the first line, from 1, that contains the last component of the path `field`; 1 if there
/// is none.
fn line_of(text: &str, field: &str) -> usize {
    let last_component = field.rsplit('.').next().unwrap_or(field);
    let name = last_component.split('[').next().unwrap_or(last_component);
    let quoted = format!("\"{name}\"");
    let lines = text.lines().enumerate();
    let mut matches = lines.filter(|(_, line)| line.contains(&quoted));
    matches.next().map_or(1, |(index, _)| index + 1)
}

/// Name and location of this process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the process, unique among all processes; the host list uses the same name.
    pub name: Box<str>,
    /// Failure domain of the host.
    pub failure_domain: Box<str>,
    /// Region of the failure domain; empty if not set.
    #[serde(default)]
    pub region: Box<str>,
}

impl NodeSettings {
    /// Validates the names.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not a valid name.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        for (field, text) in [
            ("node.name", &self.name),
            ("node.failure_domain", &self.failure_domain),
        ] {
            if !dogwoodshunt_types::adapter::is_valid_name(text) {
                let message = "must be 1 to 128 letters, digits, '-', '_' or '.'";
                return Err(InvalidSetting::new(field, message));
            }
        }
        Ok(())
    }
}

/// Settings of logs and metrics.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TelemetrySettings {
    /// Most detailed level that is logged: `error`, `warning`, `info` or `debug`.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Address of the StatsD server; no StatsD metrics are sent if absent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Level of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Details for developers.
    Debug,
    /// Operations that failed.
    Error,
    /// Normal events.
    #[default]
    Info,
    /// Problems that the process handles by itself.
    Warning,
}

/// Validates that `value` lies between `min` and `max`, both inclusive.
///
/// # Errors
///
/// Returns an error that names the field and the range.
pub fn validate_range(field: &str, value: u64, min: u64, max: u64) -> Result<(), InvalidSetting> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let message = format!("{value} is out of range; use {min} to {max}");
    Err(InvalidSetting::new(field, message))
}

/// Validates the length of a shared key. The error message does not contain the key.
///
/// # Errors
///
/// Fails if the key is shorter than 16 bytes.
pub fn validate_shared_key(key: &str) -> Result<(), InvalidSetting> {
    if key.len() >= MIN_SHARED_KEY_BYTES {
        return Ok(());
    }
    let message = format!("is too short; use at least {MIN_SHARED_KEY_BYTES} random characters");
    Err(InvalidSetting::new("shared_key", message))
}
