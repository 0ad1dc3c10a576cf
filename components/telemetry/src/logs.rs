//! Logs of the process, as text for people or as JSON for programs.

use std::fmt;
use std::io::{self, Write};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::TryInitError;

/// Limit on lines that wait to be written; further lines are dropped and counted.
///
/// Without it, a stalled reader of the output would block the threads that serve callers. 4,096
/// lines of about 400 bytes use less than 2 MB.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are collected before they are written together. If each line is written by
/// itself, it wakes the writing thread and takes eight system calls, at three requests per second
/// as at three hundred. A killed process loses the lines of this time.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Number of collected bytes at which they are written without waiting for more.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Maximum size of one write in bytes; a write consists of whole lines unless a line is longer.
/// Writes of up to `PIPE_BUF` bytes to a pipe are atomic; a longer one may be interleaved with
/// those of another process on the same pipe.
const MAX_WRITE_BYTES: usize = 4_096;

/// Filter used if the settings give none.
pub const DEFAULT_FILTER: &str = "info";

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
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

/// Error in setting up logs.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The format is neither `text` nor `json`.
    #[error("{0:?} is not a log format; text and json are")]
    Format(String),
    /// A directive of the filter is malformed.
    #[error("log filter {filter:?} is wrong: {problem}; write it as info,peers=debug")]
    Filter {
        /// Filter as given.
        filter: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The process already has a subscriber.
    #[error("logs are already set up: {0}")]
    AlreadySetUp(#[from] TryInitError),
}

/// Checks a filter such as `info,peers=debug`, without using it.
///
/// # Errors
/// Fails if a directive is malformed, and names it.
pub fn check_filter(filter: &str) -> Result<(), LogError> {
    parse_filter(filter).map(|_| ())
}

/// Parses a filter and turns off the log of `tarpc`, the RPC library used between daemons, unless
/// the filter names it.
///
/// `tarpc` logs an error for each call that times out, without naming the peer or the call. When
/// peers are unreachable, the log would consist of these lines only. The `peers` lines report the
/// same faults with the names.
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

/// Starts logging to standard error. Can be called once per process.
///
/// # Errors
/// Fails if the filter is malformed or logs are already set up.
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

/// Keeps the writing thread alive; dropping it writes the lines that are still queued.
#[derive(Debug)]
pub struct LogWriterGuard {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogWriterGuard {
    /// Returns the counter of lines that were dropped because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> Dropped {
        Dropped(Some(self.dropped.clone()))
    }
}

/// Counter of lines that were dropped because the queue was full; always 0 if logs are not bounded.
#[derive(Debug, Clone, Default)]
pub struct Dropped(Option<ErrorCounter>);

impl Dropped {
    /// Returns the number of lines dropped so far.
    #[must_use]
    pub fn lines(&self) -> u64 {
        let lines = self.0.as_ref().map(ErrorCounter::dropped_lines);
        lines.unwrap_or_default() as u64
    }
}

/// Collects lines and writes them at a flush, which the writing thread calls when its queue is
/// empty.
#[derive(Debug)]
pub struct BatchWriter<W> {
    inner: W,
    bytes: Vec<u8>,
    pause: Duration,
}

impl<W: Write> BatchWriter<W> {
    /// Creates a writer to `inner` that sleeps for `pause` after each flush, to collect more lines.
    pub fn new(inner: W, pause: Duration) -> Self {
        Self {
            inner,
            bytes: Vec::new(),
            pause,
        }
    }

    fn write_batch(&mut self) -> io::Result<()> {
        let batch = std::mem::take(&mut self.bytes);
        let mut rest = &batch[..];
        while !rest.is_empty() {
            let (chunk, remaining) = rest.split_at(chunk_end(rest));
            self.inner.write_all(chunk)?;
            rest = remaining;
        }
        self.inner.flush()
    }
}

/// Returns the length of the first write of `lines`: as many whole lines as fit into one write.
fn chunk_end(lines: &[u8]) -> usize {
    if lines.len() <= MAX_WRITE_BYTES {
        return lines.len();
    }
    let last = lines[..MAX_WRITE_BYTES].iter().rposition(|b| *b == b'\n');
    last.map_or(MAX_WRITE_BYTES, |last| last + 1)
}

impl<W: Write> Write for BatchWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() >= MAX_BATCH_BYTES {
            self.write_batch()?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.write_batch()?;
        std::thread::sleep(self.pause);
        Ok(())
    }
}

/// Starts logging as JSON to standard output, from a thread of its own. A line that finds the queue
/// full is dropped and counted, so that logging never blocks. Can be called once per process.
///
/// # Errors
/// Fails if the filter is malformed or logs are already set up.
pub fn init_bounded(filter: &str) -> Result<LogWriterGuard, LogError> {
    use tracing_subscriber::util::SubscriberInitExt;

    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("logs")
        .finish(BatchWriter::new(io::stdout(), BATCH_INTERVAL));
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
    Ok(LogWriterGuard {
        _guard: guard,
        dropped,
    })
}
