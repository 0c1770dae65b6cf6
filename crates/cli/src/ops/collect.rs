//! Collecting the `bluebell.toml` files that stand beside services' code.

use std::{
    fmt, fs,
    path::{Path, PathBuf},
};

use bluebell_core::config::{
    KeyUnit, OrganisationUnit, RuleUnit, ServiceUnit, UnitBody, UnitKind, UnitName,
};
use serde::de::DeserializeOwned;

/// The name of the files that are collected.
pub const FILE_NAME: &str = "bluebell.toml";

/// The deepest directory that is looked into, below the one named.
const MAX_DEPTH: usize = 16;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    /// The file.
    pub file: PathBuf,
    /// The field, as `table.name.field`; empty if the whole file can't be used.
    pub field: String,
    /// What is wrong and what would be accepted.
    pub message: String,
}

impl fmt::Display for FileProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`", self.file.display())?;
        if !self.field.is_empty() {
            write!(f, ", `{}`", self.field)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// All that is wrong with the files.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the files can't be used, and nothing was sent:{}", list(.problems))]
pub struct FileProblems {
    /// The problems.
    pub problems: Vec<FileProblem>,
}

fn list(problems: &[FileProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  - {problem}"))
        .collect()
}

/// One unit and the file that defines it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CollectedUnit {
    /// Its name.
    pub name: UnitName,
    /// Its content.
    pub body: UnitBody,
    /// The file.
    pub file: PathBuf,
}

impl CollectedUnit {
    /// The problem that `field` of this unit has.
    pub fn problem(&self, field: &str, message: String) -> FileProblem {
        let name = format!("{}.{}", self.name.kind(), self.name.name());
        FileProblem {
            file: self.file.clone(),
            field: match field {
                "" => name,
                field => format!("{name}.{field}"),
            },
            message,
        }
    }
}

/// All units of all files.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitCollection {
    /// The files, in the order they were found.
    pub files: Vec<PathBuf>,
    /// The units, file by file.
    pub units: Vec<CollectedUnit>,
}

impl UnitCollection {
    /// The unit of this name.
    pub fn unit(&self, name: &UnitName) -> Option<&CollectedUnit> {
        self.units.iter().find(|unit| unit.name == *name)
    }
}

/// Collects all files below `directories`; answers all problems at once.
pub fn collect(directories: &[PathBuf]) -> Result<UnitCollection, FileProblems> {
    let mut collection = UnitCollection::default();
    let mut problems = Vec::new();
    for directory in directories {
        let before = collection.files.len();
        find(directory, 0, &mut collection.files, &mut problems);
        if collection.files.len() == before && problems.is_empty() {
            problems.push(FileProblem {
                file: directory.clone(),
                field: String::new(),
                message: format!("holds no file called `{FILE_NAME}`, expected at least one"),
            });
        }
    }
    collection.files.sort();
    collection.files.dedup();
    for file in &collection.files {
        match fs::read_to_string(file) {
            Ok(text) => read(file, &text, &mut collection.units, &mut problems),
            Err(error) => problems.push(whole_file(file, format!("can't be read: {error}"))),
        }
    }
    if problems.is_empty() {
        return Ok(collection);
    }
    Err(FileProblems { problems })
}

fn whole_file(file: &Path, message: String) -> FileProblem {
    FileProblem {
        file: file.to_path_buf(),
        field: String::new(),
        message,
    }
}

fn find(path: &Path, depth: usize, files: &mut Vec<PathBuf>, problems: &mut Vec<FileProblem>) {
    if path.is_file() && depth == 0 {
        files.push(path.to_path_buf());
        return;
    }
    let entries = match fs::read_dir(path) {
        Ok(entries) => entries,
        Err(error) => {
            problems.push(whole_file(path, format!("can't be read: {error}")));
            return;
        }
    };
    for entry in entries.flatten() {
        let name = entry.file_name();
        let hidden = name.to_string_lossy().starts_with('.');
        // Symbolic links are not followed: a loop of them would never end.
        let is_directory = entry.file_type().is_ok_and(|kind| kind.is_dir());
        if is_directory && !hidden && depth < MAX_DEPTH {
            find(&entry.path(), depth + 1, files, problems);
        } else if name == FILE_NAME {
            files.push(entry.path());
        }
    }
}

fn read(file: &Path, text: &str, units: &mut Vec<CollectedUnit>, problems: &mut Vec<FileProblem>) {
    let table: toml::Table = match text.parse() {
        Ok(table) => table,
        Err(error) => {
            let message = format!("is no TOML: {}", error.to_string().trim_end());
            problems.push(whole_file(file, message));
            return;
        }
    };
    for (kind, section) in table {
        let problem = |field: &str, message: String| FileProblem {
            file: file.to_path_buf(),
            field: field.to_string(),
            message,
        };
        let Some(kind) = kind_of(&kind) else {
            let message = "is unknown, expected `service`, `organisation`, `key` or `rule`";
            problems.push(problem(&kind, message.to_string()));
            continue;
        };
        let toml::Value::Table(section) = section else {
            let message = format!("expected tables `[{kind}.NAME]`");
            problems.push(problem(&kind.to_string(), message));
            continue;
        };
        for (name, value) in section {
            match unit(kind, &name, value) {
                Ok((name, body)) => units.push(CollectedUnit {
                    name,
                    body,
                    file: file.to_path_buf(),
                }),
                Err(error) => problems.push(problem(&format!("{kind}.{name}"), error)),
            }
        }
    }
}

fn kind_of(text: &str) -> Option<UnitKind> {
    let kinds = [
        UnitKind::Service,
        UnitKind::Organisation,
        UnitKind::Key,
        UnitKind::Rule,
    ];
    kinds.into_iter().find(|kind| kind.to_string() == text)
}

fn unit(kind: UnitKind, name: &str, value: toml::Value) -> Result<(UnitName, UnitBody), String> {
    let name = UnitName::new(kind, name).map_err(|error| error.to_string())?;
    let body = match kind {
        UnitKind::Service => UnitBody::Service(content::<ServiceUnit>(value)?),
        UnitKind::Organisation => UnitBody::Organisation(content::<OrganisationUnit>(value)?),
        UnitKind::Key => UnitBody::Key(content::<KeyUnit>(value)?),
        UnitKind::Rule => UnitBody::Rule(content::<RuleUnit>(value)?),
    };
    Ok((name, body))
}

fn content<Content>(value: toml::Value) -> Result<Content, String>
where
    Content: DeserializeOwned,
{
    value.try_into().map_err(|error: toml::de::Error| {
        let lines: Vec<&str> = error.message().lines().map(str::trim).collect();
        let text = error.to_string();
        let place = text.lines().find(|line| line.starts_with("in `"));
        match place {
            Some(place) => format!("{place}: {}", lines.join(" ")),
            None => lines.join(" "),
        }
    })
}
