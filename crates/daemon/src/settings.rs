//! Settings: TOML files that are read and checked completely before a daemon starts.

use std::{fs, path::Path};

use serde::de::DeserializeOwned;

/// Why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("failed to read settings at `{path}`: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, has an unknown field or lacks a required one.
    #[error("failed to parse settings at `{path}`: {message}")]
    Parse {
        /// The path of the file.
        path: String,
        /// The parser's message, with the place in the file.
        message: String,
    },
    /// Values that contradict each other or are out of range.
    #[error("settings at `{path}` can't be used:\n{}", list(.problems))]
    Check {
        /// The path of the file.
        path: String,
        /// All problems found.
        problems: Vec<SettingProblem>,
    },
}

fn list(problems: &[SettingProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("  - {problem}\n"))
        .collect()
}

/// A value that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{field}` is `{value}`, expected {expected}")]
pub struct SettingProblem {
    /// The field, as `table.field`.
    pub field: String,
    /// Its value.
    pub value: String,
    /// A description of the accepted values.
    pub expected: String,
}

impl SettingProblem {
    /// The problem that `field` is `value` where `expected` is required.
    pub fn new<Value>(field: &str, value: Value, expected: &str) -> SettingProblem
    where
        Value: std::fmt::Display,
    {
        SettingProblem {
            field: field.to_string(),
            value: value.to_string(),
            expected: expected.to_string(),
        }
    }
}

/// Reads the settings at `path` and checks them with `check`, which returns all
/// problems found.
pub fn load<Settings, Check>(path: &Path, check: Check) -> Result<Settings, SettingsError>
where
    Settings: DeserializeOwned,
    Check: FnOnce(&Settings) -> Vec<SettingProblem>,
{
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: name.clone(),
        source,
    })?;
    parse(&name, &text, check)
}

/// Parses and checks the text of the settings file at `path`.
pub fn parse<Settings, Check>(
    path: &str,
    text: &str,
    check: Check,
) -> Result<Settings, SettingsError>
where
    Settings: DeserializeOwned,
    Check: FnOnce(&Settings) -> Vec<SettingProblem>,
{
    let path = path.to_string();
    let settings: Settings = match toml::from_str(text) {
        Ok(settings) => settings,
        Err(error) => {
            return Err(SettingsError::Parse {
                path,
                message: error.to_string(),
            });
        }
    };
    let problems = check(&settings);
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError::Check { path, problems })
}
