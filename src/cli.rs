//! Command-line arguments of the tool.

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
    /// URL of a daemon's operators' API (default http://127.0.0.1:7081)
    #[argh(option, default = "String::from(\"http://127.0.0.1:7081\")")]
    pub server: String,
    /// operator's token (default BUCKTHORNCROSS_TOKEN, then dev-operator)
    #[argh(option, default = "default_token()")]
    pub token: String,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

fn default_token() -> String {
    std::env::var(TOKEN_VARIABLE).unwrap_or_else(|_| DEFAULT_TOKEN.to_owned())
}

/// A command of the tool.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Lists, reads and edits entries of the catalogue.
    Catalogue(Catalogue),
    /// Starts, controls and shows roll-outs.
    Rollout(Rollout),
    /// Withdraws a version of a model.
    Withdraw(Withdraw),
    /// Offers a version of a model.
    Offer(Offer),
    /// Shows the state of the fleet.
    Status(Status),
    /// Prints one daemon's internal state.
    Dump(Dump),
    /// Lists bills.
    Bills(Bills),
    /// Checks a file of entries.
    Check(Check),
    /// Shows the fleet and its traffic continuously.
    Top(Top),
    /// Collects the log lines about one request.
    Trace(Trace),
}

/// Lists, reads and edits entries of the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "catalogue")]
pub(crate) struct Catalogue {
    /// command to run
    #[argh(subcommand)]
    pub command: CatalogueCommand,
}

/// A command on entries of the catalogue.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum CatalogueCommand {
    /// Lists all entries.
    List(List),
    /// Prints entries.
    Get(Get),
    /// Writes the entries of a file.
    Put(Put),
    /// Removes an entry.
    Remove(Remove),
    /// Lists an entry's past edits.
    History(History),
}

/// Lists the entries.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Prints entries in the file format that `put` reads, with their current revisions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// names of entries, such as offers/brief-writer
    #[argh(positional)]
    pub names: Vec<EntryName>,
}

/// Writes the entries of a file. Each must still have the revision that `get` wrote into the
/// file; an entry without a revision must not exist yet.
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
    /// name of the entry, such as offers/brief-writer
    #[argh(positional)]
    pub name: EntryName,
    /// revision that the entry must have (default: its current one)
    #[argh(option)]
    pub revision: Option<Revision>,
}

/// Lists an entry's past edits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// name of the entry, such as offers/brief-writer
    #[argh(positional)]
    pub name: EntryName,
}

/// Starts, controls and shows roll-outs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(crate) struct Rollout {
    /// command to run
    #[argh(subcommand)]
    pub command: RolloutCommand,
}

/// A command on roll-outs.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum RolloutCommand {
    /// Starts a roll-out.
    Start(RolloutStart),
    /// Goes to the next step.
    Advance(RolloutAdvance),
    /// Pauses a roll-out at its step.
    Pause(RolloutPause),
    /// Resumes a paused roll-out.
    Resume(RolloutResume),
    /// Returns to the old version.
    Abort(RolloutAbort),
    /// Shows all roll-outs.
    Status(RolloutStatus),
}

/// Starts to roll out a version of a model.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct RolloutStart {
    /// new version, such as tariff-large@2026-12
    #[argh(positional)]
    pub to: VersionId,
    /// old version (default: the only other one offered)
    #[argh(option)]
    pub from: Option<VersionName>,
    /// share of new sessions at each step, such as 0.05,0.5,1
    #[argh(option, from_str_fn(parse_steps))]
    pub steps: Option<Vec<Share>>,
    /// number of ratings that each step needs
    #[argh(option)]
    pub ratings: Option<u32>,
    /// minimum time at each step, such as 5m
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
    /// name of the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Pauses a roll-out at its current step.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
pub(crate) struct RolloutPause {
    /// name of the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Resumes a paused roll-out.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub(crate) struct RolloutResume {
    /// name of the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Aborts a roll-out and returns to the old version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "abort")]
pub(crate) struct RolloutAbort {
    /// name of the model
    #[argh(positional)]
    pub model: ModelName,
}

/// Shows the roll-outs and what each is waiting for.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct RolloutStatus {}

/// Withdraws a version: no new requests run on it, not even those of existing sessions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct Withdraw {
    /// the version, such as tariff-large@2026-11
    #[argh(positional)]
    pub version: VersionId,
}

/// Offers a version, and lifts its suspension if it has one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "offer")]
pub(crate) struct Offer {
    /// the version, such as tariff-large@2026-11
    #[argh(positional)]
    pub version: VersionId,
}

/// Shows the daemons of the fleet and the revision in force at each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// wait until this revision is in force at all daemons
    #[argh(option)]
    pub wait: Option<Revision>,
    /// longest time to wait (default 60s)
    #[argh(option, default = "Span::from_secs(60)")]
    pub timeout: Span,
}

/// Prints the daemon's internal state as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Dump {
    /// print only this part
    #[argh(option)]
    pub part: Option<String>,
}

/// Lists bills.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bills")]
pub(crate) struct Bills {
    /// start of the period, such as 2026-12-02T17:00:00Z
    #[argh(option)]
    pub since: Option<WallTime>,
    /// end of the period, exclusive
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

/// Collects from several hosts' logs the lines that explain one request, in order of time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Trace {
    /// id of the request, as the caller sent it, or id of a content
    #[argh(positional)]
    pub id: String,
    /// log file of a host, one JSON object per line; may be given several times
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
    /// number of refreshes, after which the command ends
    #[argh(option)]
    pub count: Option<u32>,
}
