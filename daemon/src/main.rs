//! `buckthorncrossd`: the entry daemon.

mod cli;
mod cmd;
mod policy;

use std::ffi::OsString;
use std::process::ExitCode;

use argh::FromArgs;

/// Exit code of a wrong command line.
const USAGE: u8 = 1;

fn main() -> eyre::Result<ExitCode> {
    let words = std::env::args_os().skip(1).map(OsString::into_string);
    let words = match words.collect::<Result<Vec<_>, _>>() {
        Ok(words) => words,
        Err(word) => {
            eprintln!("Invalid utf8: {}", word.to_string_lossy());
            return Ok(ExitCode::from(usage_code(std::env::args_os().nth(1))));
        }
    };
    let words = words.iter().map(String::as_str).collect::<Vec<_>>();
    let ordered = cli::with_stdin_last(&words);
    let args = match cli::Args::from_args(&["buckthorncrossd"], &ordered) {
        Ok(args) => args,
        Err(exit) => return Ok(end_early(&exit, &words)),
    };
    match args.command {
        cli::Command::Run(options) => cmd::run::run(&options)?,
        cli::Command::Dev(options) => cmd::dev::run(&options)?,
        cli::Command::Platform(options) => cmd::platform::run(&options)?,
        cli::Command::Check(options) => return cmd::check::run(&options),
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the help that was asked for, or what is wrong with the command line. `check` says by the
/// exit code 1 that there are findings, so that its command line has the code of unreadable input.
fn end_early(exit: &argh::EarlyExit, words: &[&str]) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "{}\nRun buckthorncrossd --help for more information.",
        exit.output
    );
    ExitCode::from(usage_code(words.first().map(OsString::from)))
}

fn usage_code(command: Option<OsString>) -> u8 {
    match command {
        Some(command) if command == "check" => cmd::check::UNREADABLE,
        _ => USAGE,
    }
}
