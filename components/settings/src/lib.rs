//! Daemon settings: load and check.
//!
//! Settings are one YAML file. Every key is known and typed, so a misspelt or
//! ill-formed one is an error that names the file, the place and what is expected;
//! what can be left out has a default stated here.

mod check;
pub mod model;
pub mod reference;

use std::path::Path;

pub use check::Problem;
pub use model::Settings;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// Not YAML, or a key or value is not as expected.
    #[error("{file}: {source}")]
    Malformed {
        /// The file.
        file: String,
        /// Names the key, line and column.
        source: serde_norway::Error,
    },
    /// Well-formed, but not usable.
    #[error("{file}: {}", list(problems))]
    Unusable {
        /// The file.
        file: String,
        /// Every problem found.
        problems: Vec<Problem>,
    },
}

fn list(problems: &[Problem]) -> String {
    let lines = problems.iter().map(ToString::to_string);
    lines.collect::<Vec<_>>().join("; ")
}

/// Loads and checks a settings file.
///
/// # Errors
/// When the file cannot be read, a key is unknown or ill-formed, or a rule is broken.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
        file: name.clone(),
        source,
    })?;
    from_yaml(&name, &text)
}

/// Reads and checks settings from YAML text; `file` is only named in errors.
///
/// # Errors
/// When a key is unknown or ill-formed, or a rule is broken.
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
