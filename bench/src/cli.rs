//! Command line arguments.

use argh::FromArgs;

/// Runs experiments on the router and its decisions. The last line printed is one JSON object.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// experiment to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The experiments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Cost of the daemon between caller and engine.
    Overhead(Overhead),
    /// Shutdown of a daemon with open streams, and a daemon without its store.
    Outage(Outage),
    /// Invariants of requests while a fault is injected every second.
    Faults(Faults),
    /// Roll-outs under faults.
    Rollout(Rollout),
    /// All experiments in one HTML page.
    Report(ReportPage),
    /// Cost and quality of the choice of version.
    Cascade(Cascade),
    /// Bad answers before a bad version is suspended.
    BadVersion(BadVersion),
    /// Choice of upstream compared with simpler policies.
    Balance(Balance),
    /// A partner's batch load on top of steady interactive load.
    Burst(Burst),
    /// Membership of many simulated daemons.
    Membership(Membership),
    /// Propagation of catalogue edits to all daemons.
    Config(Config),
    /// Cost of claims and sessions.
    Claims(Claims),
    /// Time and memory of a choice of upstream.
    Decide(Decide),
    /// Propagation of catalogue edits between simulated daemons.
    Spread(Spread),
    /// Cost, delay and losses of bills.
    Ledger(Ledger),
}

/// Compares requests sent directly to the stand-in engine with requests through the daemon.
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

/// Sends SIGTERM with 200 streams open, then takes the store down in the middle half of a steady
/// load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "outage")]
pub struct Outage {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// length of the load in seconds; the outage lasts half as long
    #[argh(option, default = "120.0")]
    pub seconds: f64,
}

/// Runs real daemons under steady load of both users with a fault every second, compared with no
/// faults.
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
    /// requests per second
    #[argh(option, default = "100.0")]
    pub rate: f64,
    /// number of daemons
    #[argh(option, default = "6")]
    pub daemons: usize,
    /// print each violated invariant
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

/// Counts bad answers served before a bad version is suspended everywhere.
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
    /// runs of each arm, with consecutive seeds
    #[argh(option, default = "20")]
    pub runs: u64,
    /// ratings in the long run of the detector alone
    #[argh(option, default = "50_000_000")]
    pub ratings: u64,
    /// requests in the long run of the whole control loop
    #[argh(option, default = "1_000_000")]
    pub loop_requests: u64,
}

/// compares the choice of upstream with round robin, random and least loaded by report
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

/// adds a batch load of ten times the capacity to steady interactive load
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

/// measures the cost of claims for work that must run only once, and of sessions
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

/// measures the time of a choice and the memory per upstream at 12,000 upstreams and 10 versions
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

/// Drives a roll-out to its end while drivers are paused, stores fail and engines ignore fencing
/// tokens.
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

/// Measures cost at the quality target, compared with simpler policies and an oracle.
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
    /// requests to a real daemon over loopback; 0 skips that arm
    #[argh(option, default = "3000")]
    pub real: usize,
}

/// Measures how edits reach up to 460 daemons in simulated time, compared with an arm in which
/// every daemon watches the store itself.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct Spread {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// number of steady edits, made at 0.3 per second and followed by a burst of 50
    #[argh(option, default = "20")]
    pub edits: u64,
}

/// Measures bills: writes to the store, bytes, delay at the end of an answer, losses in crashes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ledger")]
pub struct Ledger {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// length of each load in seconds of simulated time
    #[argh(option, default = "120")]
    pub seconds: u64,
    /// also run 460 daemons at 30,000 requests per second (takes about 2 GB and several minutes)
    #[argh(switch)]
    pub large: bool,
}

/// Measures how catalogue edits reach all daemons, with real processes and a stand-in store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print only the line of JSON
    #[argh(switch)]
    pub json: bool,
    /// folder for plots
    #[argh(option)]
    pub plot: Option<std::path::PathBuf>,
    /// comma-separated fleet sizes; empty to run only the fault arms
    #[argh(option, default = "String::from(\"8,16,32,64,128\")")]
    pub sizes: String,
    /// length of the idle phase and of the phase of steady edits, in seconds each
    #[argh(option, default = "30")]
    pub seconds: u64,
    /// rounds in which two operators edit concurrently; 0 skips all fault arms
    #[argh(option, default = "1000")]
    pub rounds: u32,
}

/// Simulates the membership of many daemons with lost messages.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "membership")]
pub struct Membership {
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
