//! `buckthorncross`: the operators' tool.
//!
//! The tool calls the operators' API of one daemon and prints tables for people or, with
//! `--json`, the API's replies for programs. Its exit code gives the outcome of the command:
//!
//! | code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | refused or failed; nothing was changed |
//! | 2 | the command line is wrong |
//! | 3 | conflict: the entry changed since it was read; nothing was changed |
//! | 4 | the outcome of an edit is not known |
//! | 5 | the daemon cannot be reached; nothing was changed |

mod cli;
mod client;
mod cmd;
mod failure;
mod output;
mod timeline;

use std::process::ExitCode;

use argh::FromArgs;

use crate::cli::Args;
use crate::client::Client;
use crate::failure::USAGE;
use crate::output::Output;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match Args::from_args(&["buckthorncross"], &words) {
        Ok(args) => run(args),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            ExitCode::from(USAGE)
        }
    }
}

fn run(args: Args) -> ExitCode {
    let client = Client::new(&args.server, args.token);
    let output = Output::new(args.json);
    match cmd::run(&client, &output, args.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output.failure(&failure);
            ExitCode::from(failure.exit_code())
        }
    }
}
