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
    /// Choice of upstream beside simpler ways.
    Balance(Balance),
    /// A partner's batch on steady interactive work.
    Burst(Burst),
    /// Time and memory of a choice of upstream.
    Decide(Decide),
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

/// choice of upstream beside round robin, random and least loaded by report
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "balance")]
pub struct Balance {
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

/// a batch of ten times the capacity on steady interactive work
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burst")]
pub struct Burst {
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

/// time of a choice and memory of an upstream at 12,000 upstreams and 10 versions
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "decide")]
pub struct Decide {
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
