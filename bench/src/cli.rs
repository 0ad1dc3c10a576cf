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
    /// Roll-outs under faults.
    Rollout(Rollout),
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

/// A roll-out driven to its end while drivers are paused, stores fail and engines ignore
/// fencing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct Rollout {
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
