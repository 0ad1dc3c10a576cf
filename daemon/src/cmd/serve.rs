//! Serves until a signal says to leave.

use node::Node;
use settings::Settings;
use settings::model::LogFormat;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use telemetry::logs::{self, Format};

/// Exit status after a second signal cut the shutdown short.
const CUT_SHORT: i32 = 1;

/// Sets up logs as the settings say.
pub(super) fn start_logs(settings: &Settings) -> eyre::Result<()> {
    let format = match settings.log.format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    logs::init(format, &settings.log.filter)?;
    Ok(())
}

/// Waits for a signal, then leaves gracefully; a second signal cuts that short.
pub(super) fn until_signal(node: Node) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    tracing::info!("daemon: leaving; a second signal cuts requests in flight");
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                tracing::warn!("daemon: second signal, requests in flight are cut");
                std::process::exit(CUT_SHORT);
            }
        })?;
    let cut = node.shutdown();
    eyre::ensure!(
        cut == 0,
        "{cut} connections were cut at the shutdown's deadline"
    );
    Ok(())
}
