//! Logs of the process, as text for people or as JSON for programs.

use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::TryInitError;

/// Lines that wait to be written at most; beyond it lines are dropped and counted.
///
/// Guards against a reader of the output that stops: writing would block the thread that
/// serves callers. 4,096 lines of about 400 bytes are under 2 MB.
const MAX_WAITING_LINES: usize = 4_096;

/// Lines are gathered for so long before they are written together. A line at a time woke
/// the thread that writes, at three requests a second as at three hundred, for eight system
/// calls each. What a killed process loses is what it said in this time.
const GATHER: Duration = Duration::from_millis(50);
/// Bytes that are written without waiting for more.
const MAX_GATHERED: usize = 64 * 1024;
/// Bytes of one write at most, whole lines as far as they fit: a pipe takes that much in one
/// piece (`PIPE_BUF`), and a longer write may be torn by another process's on the same pipe.
const MAX_WRITE: usize = 4_096;

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

/// The filter, with the library of calls between daemons left out unless it is named.
///
/// Guards against its error line for each call that is not answered in time, which names neither
/// peer nor call: behind a cut that is all there is in the log. The `peers` lines say it instead.
fn parse_filter(filter: &str) -> Result<EnvFilter, LogError> {
    let quiet = match filter.contains("tarpc") {
        true => filter.to_owned(),
        false => format!("{filter},tarpc=off"),
    };
    EnvFilter::builder()
        .parse(quiet)
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

/// Keeps the thread that writes logs; what waits is written when this goes.
#[derive(Debug)]
pub struct Writing {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Writing {
    /// Counts lines that were dropped because too many waited.
    #[must_use]
    pub fn dropped(&self) -> Dropped {
        Dropped(Some(self.dropped.clone()))
    }
}

/// Counts lines that were dropped because too many waited; none where logs are not bounded.
#[derive(Debug, Clone, Default)]
pub struct Dropped(Option<ErrorCounter>);

impl Dropped {
    /// Lines so far.
    #[must_use]
    pub fn lines(&self) -> u64 {
        let lines = self.0.as_ref().map(ErrorCounter::dropped_lines);
        lines.unwrap_or_default() as u64
    }
}

/// Gathers what is written and hands it on at a flush, which comes once nothing more waits.
#[derive(Debug)]
pub struct Gathered<W> {
    inner: W,
    bytes: Vec<u8>,
    pause: Duration,
}

impl<W: Write> Gathered<W> {
    /// Hands on to `inner` and then pauses, so that more is gathered before the next time.
    pub fn new(inner: W, pause: Duration) -> Self {
        Self {
            inner,
            bytes: Vec::new(),
            pause,
        }
    }

    fn hand_on(&mut self) -> io::Result<()> {
        let gathered = std::mem::take(&mut self.bytes);
        let mut rest = &gathered[..];
        while !rest.is_empty() {
            let (piece, behind) = rest.split_at(end_of_piece(rest));
            self.inner.write_all(piece)?;
            rest = behind;
        }
        self.inner.flush()
    }
}

/// Where the first write of some lines ends.
fn end_of_piece(lines: &[u8]) -> usize {
    if lines.len() <= MAX_WRITE {
        return lines.len();
    }
    let last = lines[..MAX_WRITE].iter().rposition(|b| *b == b'\n');
    last.map_or(MAX_WRITE, |last| last + 1)
}

impl<W: Write> Write for Gathered<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() >= MAX_GATHERED {
            self.hand_on()?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.hand_on()?;
        std::thread::sleep(self.pause);
        Ok(())
    }
}

/// Starts writing logs as JSON to standard output, once for the process, from a thread of
/// its own: a line that finds no room is dropped and counted, never waited for.
///
/// # Errors
/// When the filter cannot be read, or logs were set up before.
pub fn init_bounded(filter: &str) -> Result<Writing, LogError> {
    use tracing_subscriber::util::SubscriberInitExt;

    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .thread_name("logs")
        .finish(Gathered::new(io::stdout(), GATHER));
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .with_env_filter(parse_filter(filter)?)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .finish()
        .try_init()?;
    Ok(Writing {
        _guard: guard,
        dropped,
    })
}
