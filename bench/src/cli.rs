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
}
