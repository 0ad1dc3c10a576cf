//! Log set-up and graceful shutdown, shared by `run` and `dev`.

use node::Node;
use settings::Settings;
use settings::model::LogFormat;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use telemetry::logs::{self, Format};

/// Exit status after a second signal interrupted the graceful shutdown.
const EXIT_INTERRUPTED: i32 = 1;

/// Starts logging in the format and with the filter of the settings.
pub(super) fn start_logs(settings: &Settings) -> eyre::Result<()> {
    let format = match settings.log.format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    logs::init(format, &settings.log.filter)?;
    Ok(())
}

/// Waits for SIGINT or SIGTERM, then shuts down gracefully; a second signal exits at once.
pub(super) fn until_signal(node: Node) -> eyre::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    tracing::info!("daemon: shutting down gracefully; a second signal aborts requests in flight");
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            if signals.forever().next().is_some() {
                tracing::warn!("daemon: second signal received; aborting requests in flight");
                std::process::exit(EXIT_INTERRUPTED);
            }
        })?;
    let cut = node.shutdown();
    eyre::ensure!(
        cut == 0,
        "{cut} connections were cut at the shutdown's deadline"
    );
    Ok(())
}
