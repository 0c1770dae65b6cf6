//! Settings: TOML files that are read and checked as a whole before anything starts.

use std::{fs, path::Path};

use serde::de::DeserializeOwned;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("failed to read settings at `{path}`: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is no TOML, or names an unknown field, or lacks one.
    #[error("failed to parse settings at `{path}`: {message}")]
    Parse {
        /// The file.
        path: String,
        /// What is wrong, with the place in the file.
        message: String,
    },
    /// Values that contradict each other or are out of range.
    #[error("settings at `{path}` can't be used:\n{}", list(.problems))]
    Check {
        /// The file.
        path: String,
        /// All that is wrong.
        problems: Vec<SettingProblem>,
    },
}

fn list(problems: &[SettingProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("  - {problem}\n"))
        .collect()
}

/// One value that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{field}` is `{value}`, expected {expected}")]
pub struct SettingProblem {
    /// The field, as `table.field`.
    pub field: String,
    /// Its value.
    pub value: String,
    /// What would be accepted.
    pub expected: String,
}

impl SettingProblem {
    /// The problem that `field` is `value`, where `expected` would be accepted.
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

/// Reads the settings at `path` and checks them with `check`, which answers all
/// problems at once.
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

/// Parses and checks the text of a settings file called `path`.
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
