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
    /// Cost and quality of the choice of version.
    Cascade(Cascade),
    /// Bad answers before a bad version is suspended.
    BadVersion(BadVersion),
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

/// Bad answers served before a bad version is suspended everywhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bad-version")]
pub struct BadVersion {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// runs of each arm, seeds following each other
    #[argh(option, default = "20")]
    pub runs: u64,
    /// ratings in the long run of the test alone
    #[argh(option, default = "50_000_000")]
    pub ratings: u64,
    /// requests in the long run of the whole loop
    #[argh(option, default = "1_000_000")]
    pub loop_requests: u64,
}

/// Cost at the quality target, beside simpler ways and an oracle.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cascade")]
pub struct Cascade {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// requests in each arm
    #[argh(option, default = "60_000")]
    pub requests: usize,
}
