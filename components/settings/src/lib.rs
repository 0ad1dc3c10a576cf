//! Loads and checks the settings of a daemon.
//!
//! Settings are a single YAML file. All keys are known and typed, so that a misspelt key or a
//! malformed value is an error that names the file, the place and what is expected. Optional keys
//! have their defaults in [`model`].

mod check;
pub mod model;
pub mod reference;

use std::path::Path;

pub use check::Problem;
pub use model::Settings;

/// Error in loading settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not YAML, or has an unknown key or a malformed value.
    #[error("{file}: {source}")]
    Malformed {
        /// Name of the file.
        file: String,
        /// Error of the parser, with key, line and column.
        source: serde_norway::Error,
    },
    /// The settings are well-formed but break rules.
    #[error("{file}: {}", join_problems(problems))]
    Unusable {
        /// Name of the file.
        file: String,
        /// All broken rules.
        problems: Vec<Problem>,
    },
}

fn join_problems(problems: &[Problem]) -> String {
    let lines = problems.iter().map(ToString::to_string);
    lines.collect::<Vec<_>>().join("; ")
}

/// Loads and checks a settings file.
///
/// # Errors
/// Fails if the file cannot be read, a key is unknown, a value is malformed or a rule is broken.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
        file: name.clone(),
        source,
    })?;
    from_yaml(&name, &text)
}

/// Parses and checks settings from YAML text; `file` is the name used in errors.
///
/// # Errors
/// Fails if a key is unknown, a value is malformed or a rule is broken.
pub fn from_yaml(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let parsed = serde_norway::from_str::<Settings>(text);
    let settings = parsed.map_err(|source| SettingsError::Malformed {
        file: file.to_owned(),
        source,
    })?;
    let problems = check::check(&settings);
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError::Unusable {
            file: file.to_owned(),
            problems,
        })
    }
}
