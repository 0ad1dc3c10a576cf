//! `buckthorncross-bench`: experiments that measure the router and its decisions.

mod cli;
mod cmd;
mod daemons;
mod echo;
mod fake;
mod fleet;
mod load;
mod parallel;
mod plot;
mod report;

fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    match args.command {
        cli::Command::Overhead(options) => {
            cmd::overhead::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Outage(options) => {
            cmd::outage::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Faults(options) => {
            cmd::faults::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Report(options) => cmd::report::run(&options),

        cli::Command::BadVersion(options) => {
            cmd::bad_version::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Balance(options) => {
            cmd::balance::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Burst(options) => {
            cmd::burst::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Config(options) => {
            cmd::config::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Membership(options) => {
            cmd::membership::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Claims(options) => {
            cmd::claims::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Decide(options) => {
            cmd::decide::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Ledger(options) => {
            cmd::ledger::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Rollout(options) => {
            cmd::rollout::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Cascade(options) => {
            cmd::cascade::run(&options)?.finish(options.json, options.plot.as_deref())
        }
        cli::Command::Spread(options) => {
            cmd::spread::run(&options)?.finish(options.json, options.plot.as_deref())
        }
    }
}
