//! `decide`.

use crate::cli;
use crate::report::Report;

/// Runs it.
pub fn run(options: &cli::Decide) -> eyre::Result<Report> {
    Ok(Report::new("decide", options.seed))
}
