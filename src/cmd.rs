//! The tool's commands, one module each.

mod bills;
mod catalogue;
mod check;
mod dump;
mod rollout;
mod status;
mod top;
mod trace;
mod version;

use crate::cli::Command;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::Output;

/// Runs one command of the tool and prints its result.
pub(crate) fn run(client: &Client, output: &Output, command: Command) -> Result<(), Failure> {
    match command {
        Command::Catalogue(args) => catalogue::run(client, output, args.command),
        Command::Rollout(args) => rollout::run(client, output, args.command),
        Command::Withdraw(args) => version::withdraw(client, output, &args.version),
        Command::Offer(args) => version::offer(client, output, &args.version),
        Command::Status(args) => status::run(client, output, &args),
        Command::Dump(args) => dump::run(client, args.part.as_deref()),
        Command::Bills(args) => bills::run(client, output, &args),
        Command::Check(args) => check::run(output, &args.file),
        Command::Top(args) => top::run(client, &args),
        Command::Trace(args) => trace::run(output, &args),
    }
}
