//! `buckthorncross-bench`: measures the router and its decisions.

mod cli;
mod cmd;
mod report;

fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    match args.command {
        cli::Command::Overhead(options) => {
            report::Report::new("overhead", options.seed).print(options.json)
        }
        cli::Command::Rollout(options) => cmd::rollout::run_all(&options),
    }
}
