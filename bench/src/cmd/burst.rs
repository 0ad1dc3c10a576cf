//! `burst`.

use crate::cli;
use crate::report::Report;

/// Runs it.
pub fn run(options: &cli::Burst) -> eyre::Result<Report> {
    Ok(Report::new("burst", options.seed))
}
