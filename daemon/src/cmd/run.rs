//! `run`: serves with the settings of a file.

use eyre::Context;
use node::Node;

use super::serve;
use crate::cli::Run;

/// Loads and checks the settings, then serves until a signal; with `--check`, stops after the
/// check.
pub fn run(options: &Run) -> eyre::Result<()> {
    let settings = settings::load(&options.settings)?;
    check_log_filter(&settings.log.filter)?;
    if options.check {
        println!("{}: the settings are good", options.settings.display());
        return Ok(());
    }
    serve::start_logs(&settings)?;
    let node = Node::start(settings).wrap_err("the daemon cannot start")?;
    serve::until_signal(node)
}

fn check_log_filter(filter: &str) -> eyre::Result<()> {
    telemetry::logs::check_filter(filter).wrap_err("log.filter")
}
