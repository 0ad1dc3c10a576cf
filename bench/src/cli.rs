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
    /// A daemon that leaves with streams open, and one without its store.
    Outage(Outage),
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
    /// Memberships of many daemons in one loop.
    Membership(Membership),
    /// Edits of the catalogue in force at every daemon.
    Config(Config),
    /// Cost of claims and sessions.
    Claims(Claims),
    /// Time and memory of a choice of upstream.
    Decide(Decide),
    /// Edits coming into force at daemons that share one thread.
    Spread(Spread),
    /// Cost, delay and losses of bills.
    Ledger(Ledger),
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

/// SIGTERM with 200 streams open; then a steady load whose middle half has no store.
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
    /// length of the load in seconds, twice that of the outage
    #[argh(option, default = "120.0")]
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

/// Edits coming into force at up to 460 daemons on virtual time, beside an arm in which
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
    /// edits, at 0.3 a second; 50 at once follow
    #[argh(option, default = "20")]
    pub edits: u64,
}

/// Bills: the store's writes, bytes, the delay at the end of an answer, losses at crashes.
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
    /// length of each load in seconds of the fleet's own time
    #[argh(option, default = "120")]
    pub seconds: u64,
    /// also run 460 daemons at 30,000 requests a second (some 2 GB, minutes)
    #[argh(switch)]
    pub large: bool,
}

/// Edits of the catalogue in force at every daemon: real processes, a stand-in store.
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
    /// sizes of the fleet, with commas between; empty for the faults alone
    #[argh(option, default = "String::from(\"8,16,32,64,128\")")]
    pub sizes: String,
    /// seconds of each of rest and steady edits
    #[argh(option, default = "30")]
    pub seconds: u64,
    /// rounds of two operators at once; 0 leaves out all faults
    #[argh(option, default = "1000")]
    pub rounds: u32,
}

/// Memberships of many daemons in one loop, in simulated time, with messages lost.
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
