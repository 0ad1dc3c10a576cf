//! Logs of the process, as text for people or as JSON for programs.

use std::fmt;
use std::io;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::TryInitError;

/// Filter used when the settings say nothing.
pub const DEFAULT_FILTER: &str = "info";

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl FromStr for Format {
    type Err = LogError;

    fn from_str(text: &str) -> Result<Self, LogError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(LogError::Format(text.to_owned())),
        }
    }
}

/// Why logs could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// Neither `text` nor `json`.
    #[error("{0:?} is not a log format; text and json are")]
    Format(String),
    /// A directive of the filter could not be read.
    #[error("log filter {filter:?} is wrong: {problem}; write it as info,peers=debug")]
    Filter {
        /// The filter given.
        filter: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The process already has a subscriber.
    #[error("logs are already set up: {0}")]
    Twice(#[from] TryInitError),
}

/// Checks a filter such as `info,peers=debug`, without using it.
///
/// # Errors
/// Says which directive cannot be read.
pub fn check_filter(filter: &str) -> Result<(), LogError> {
    parse_filter(filter).map(|_| ())
}

fn parse_filter(filter: &str) -> Result<EnvFilter, LogError> {
    EnvFilter::builder()
        .parse(filter)
        .map_err(|e| LogError::Filter {
            filter: filter.to_owned(),
            problem: e.to_string(),
        })
}

/// Starts writing logs to standard error, once for the process.
///
/// # Errors
/// When the filter cannot be read, or logs were set up before.
pub fn init(format: Format, filter: &str) -> Result<(), LogError> {
    use tracing_subscriber::util::SubscriberInitExt;

    let builder = tracing_subscriber::fmt()
        .with_env_filter(parse_filter(filter)?)
        .with_writer(io::stderr);
    match format {
        Format::Text => builder.with_ansi(false).finish().try_init()?,
        Format::Json => builder.json().flatten_event(true).finish().try_init()?,
    }
    Ok(())
}
