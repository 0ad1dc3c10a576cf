//! Arguments of the measuring tool.

use argh::FromArgs;

/// Measures the router and its decisions. The last line printed is one JSON object.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// what to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The experiments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Cost of the daemon between caller and engine.
    Overhead(Overhead),
    /// Every experiment, as one page.
    Report(ReportPage),
}

/// The same requests straight to the stand-in engine and through the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Overhead {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// length of each load in seconds
    #[argh(option, default = "8.0")]
    pub seconds: f64,
}

/// Runs every experiment and writes one HTML page with its figures and plots.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportPage {
    /// folder for the page
    #[argh(positional)]
    pub folder: std::path::PathBuf,
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
}
