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
    /// The promises on requests under a fault a second.
    Faults(Faults),
    /// Roll-outs under faults.
    Rollout(Rollout),
    /// Every experiment, as one page.
    Report(ReportPage),
    /// Cost and quality of the choice of version.
    Cascade(Cascade),
    /// Bad answers before a bad version is suspended.
    BadVersion(BadVersion),
    /// Choice of upstream beside simpler ways.
    Balance(Balance),
    /// A partner's batch on steady interactive work.
    Burst(Burst),
    /// Cost of claims and sessions.
    Claims(Claims),
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
    /// length of each load in seconds
    #[argh(option, default = "8.0")]
    pub seconds: f64,
}

/// Real daemons under steady load of both users with a fault a second, beside none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct Faults {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// length of each arm in seconds
    #[argh(option, default = "60.0")]
    pub seconds: f64,
    /// requests a second
    #[argh(option, default = "100.0")]
    pub rate: f64,
    /// daemons
    #[argh(option, default = "6")]
    pub daemons: usize,
    /// print each broken promise
    #[argh(switch)]
    pub verbose: bool,
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

/// cost of claims of work that runs only once, and of sessions
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct Claims {
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
    /// requests to a real daemon over loopback, 0 for none
    #[argh(option, default = "3000")]
    pub real: usize,
}
