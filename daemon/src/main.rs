//! `buckthorncrossd`: the entry daemon.

mod cli;
mod cmd;
mod policy;

fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    match args.command {
        cli::Command::Run(options) => cmd::run::run(&options),
        cli::Command::Dev(options) => cmd::dev::run(&options),
        cli::Command::Platform(options) => cmd::platform::run(&options),
    }
}
