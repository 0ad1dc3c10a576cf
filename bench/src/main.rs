//! `buckthorncross-bench`: measures the router and its decisions.

mod cli;
mod cmd;
mod fake;
mod report;

fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    match args.command {
        cli::Command::Overhead(options) => {
            report::Report::new("overhead", options.seed).print(options.json)
        }
        cli::Command::Balance(options) => cmd::balance::run(&options)?.print(options.json),
        cli::Command::Burst(options) => cmd::burst::run(&options)?.print(options.json),
        cli::Command::Decide(options) => cmd::decide::run(&options)?.print(options.json),
    }
}
