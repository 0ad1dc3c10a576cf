//! Arguments of the tool.

use std::path::PathBuf;

use argh::FromArgs;
use types::prelude::*;

const DEFAULT_TOKEN: &str = "dev-operator";
const TOKEN_VARIABLE: &str = "BUCKTHORNCROSS_TOKEN";

/// Operators' tool of the buckthorncross router.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The token may also stand in the variable BUCKTHORNCROSS_TOKEN.",
    error_code(1, "refused or failed; nothing was changed"),
    error_code(2, "the command line is wrong"),
    error_code(
        3,
        "conflict: the entry changed since it was read; nothing was changed"
    ),
    error_code(4, "the outcome of an edit is not known"),
    error_code(5, "the daemon cannot be reached; nothing was changed")
)]
pub(crate) struct Args {
    /// a daemon's operators' address (default http://127.0.0.1:7081)
    #[argh(option, default = "String::from(\"http://127.0.0.1:7081\")")]
    pub server: String,
    /// operator's token (default BUCKTHORNCROSS_TOKEN, then dev-operator)
    #[argh(option, default = "default_token()")]
    pub token: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

fn default_token() -> String {
    std::env::var(TOKEN_VARIABLE).unwrap_or_else(|_| DEFAULT_TOKEN.to_owned())
}

/// What the tool can do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Entries.
    Catalogue(Catalogue),
    /// Roll-outs.
    Rollout(Rollout),
    /// Takes a version out.
    Withdraw(Withdraw),
    /// Takes a version in.
    Offer(Offer),
    /// The fleet.
    Status(Status),
    /// One daemon's state.
    Dump(Dump),
    /// Bills.
    Bills(Bills),
    /// A file of entries.
    Check(Check),
    /// The fleet, refreshed.
    Top(Top),
    /// One request's story, from logs.
    Trace(Trace),
}

/// Lists, reads and edits entries of the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalogue")]
pub(crate) struct Catalogue {
    /// what to do
    #[argh(subcommand)]
    pub command: CatalogueCommand,
}

/// What can be done with entries.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum CatalogueCommand {
    /// All.
    List(List),
    /// One.
    Get(Get),
    /// Write.
    Put(Put),
    /// Remove.
    Remove(Remove),
    /// Past edits.
    History(History),
}

/// Lists the entries.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Prints entries as a file that `put` takes, with the revisions that they have now.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// names, as offers/brief-writer
    #[argh(positional)]
    pub names: Vec<EntryName>,
}

/// Writes the entries of a file. Each must still be at the revision that `get` noted in
/// the file; an entry without one must not exist yet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct Put {
    /// file of entries, in YAML
    #[argh(positional)]
    pub file: PathBuf,
    /// wait until the edits are in force everywhere
    #[argh(switch)]
    pub wait: bool,
}

/// Removes an entry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Remove {
    /// its name, as offers/brief-writer
    #[argh(positional)]
    pub name: EntryName,
    /// the revision that it must have; by default the present one
    #[argh(option)]
    pub revision: Option<Revision>,
}

/// Lists an entry's past edits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// its name, as offers/brief-writer
    #[argh(positional)]
    pub name: EntryName,
}

/// Drives roll-outs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(crate) struct Rollout {
    /// what to do
    #[argh(subcommand)]
    pub command: RolloutCommand,
}

/// What can be done with roll-outs.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum RolloutCommand {
    /// Begin.
    Start(RolloutStart),
    /// Next step.
    Advance(RolloutAdvance),
    /// Stay.
    Pause(RolloutPause),
    /// Go on.
    Resume(RolloutResume),
    /// Go back.
    Abort(RolloutAbort),
    /// Show.
    Status(RolloutStatus),
}

/// Begins to roll out a version of a model.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct RolloutStart {
    /// the version that comes, as tariff-large@2026-12
    #[argh(positional)]
    pub to: VersionId,
    /// the version that goes; by default the only other one offered
    #[argh(option)]
    pub from: Option<VersionName>,
    /// shares of new sessions, as 0.05,0.5,1
    #[argh(option, from_str_fn(parse_steps))]
    pub steps: Option<Vec<Share>>,
    /// ratings that each step needs
    #[argh(option)]
    pub ratings: Option<u32>,
    /// shortest stay at a step, as 5m
    #[argh(option)]
    pub stay: Option<Span>,
}

fn parse_steps(text: &str) -> Result<Vec<Share>, String> {
    let steps = text.split(',').map(|step| step.trim().parse::<Share>());
    steps.collect::<Result<_, _>>().map_err(|e| e.to_string())
}

/// Goes to a roll-out's next step without waiting for its gate.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "advance")]
pub(crate) struct RolloutAdvance {
    /// the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Keeps a roll-out at its step.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
pub(crate) struct RolloutPause {
    /// the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Lets a paused roll-out go on.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub(crate) struct RolloutResume {
    /// the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Goes back to the old version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "abort")]
pub(crate) struct RolloutAbort {
    /// the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Shows the roll-outs and what they wait for.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct RolloutStatus {}

/// Withdraws a version: nothing new runs on it, sessions included.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct Withdraw {
    /// the version, as tariff-large@2026-11
    #[argh(positional)]
    pub version: VersionId,
}

/// Offers a version, also against a suspension made before.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "offer")]
pub(crate) struct Offer {
    /// the version, as tariff-large@2026-11
    #[argh(positional)]
    pub version: VersionId,
}

/// Shows who is in the fleet and which revision is in force where.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// wait until this revision is in force everywhere
    #[argh(option)]
    pub wait: Option<Revision>,
    /// how long to wait (default 60s)
    #[argh(option, default = "Span::from_secs(60)")]
    pub timeout: Span,
}

/// Prints the state of the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// only this part
    #[argh(option)]
    pub part: Option<String>,
}

/// Lists bills.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bills")]
pub(crate) struct Bills {
    /// from this moment on, as 2026-12-02T17:00:00Z
    #[argh(option)]
    pub since: Option<WallTime>,
    /// before this moment
    #[argh(option)]
    pub until: Option<WallTime>,
    /// print CSV
    #[argh(switch)]
    pub csv: bool,
}

/// Checks a file of entries without sending it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// file of entries, in YAML
    #[argh(positional)]
    pub file: PathBuf,
}

/// Joins the lines of several hosts' logs into one request's story.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// the request's id, as the caller sent it, or a content's
    #[argh(positional)]
    pub id: String,
    /// a host's log, a JSON object a line; may be given several times
    #[argh(option)]
    pub logs: Vec<PathBuf>,
}

/// Shows the fleet and this daemon's traffic, refreshed until interrupted.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "top")]
pub(crate) struct Top {
    /// time between refreshes (default 2s)
    #[argh(option, default = "Span::from_secs(2)")]
    pub every: Span,
    /// refresh so many times, then end
    #[argh(option)]
    pub count: Option<u32>,
}
