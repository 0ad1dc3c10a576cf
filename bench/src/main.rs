//! `buckthorncross-bench`: measures the router and its decisions.

mod cli;
mod cmd;
mod fleet;
mod parallel;
mod report;

fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    match args.command {
        cli::Command::Overhead(options) => {
            report::Report::new("overhead", options.seed).print(options.json)
        }

        cli::Command::Cascade(options) => cmd::cascade::run(&options)?.print(options.json),
        cli::Command::BadVersion(options) => cmd::bad_version::run(&options)?.print(options.json),
    }
}
