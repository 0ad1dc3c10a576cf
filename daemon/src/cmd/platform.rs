//! `platform`: serves on the users' platform, with the settings file that the environment names.

use eyre::WrapErr;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::cli::Platform;
use crate::policy;

/// Serves until SIGINT or SIGTERM; SIGHUP re-reads the settings.
pub fn run(options: &Platform) -> eyre::Result<()> {
    // A signal that arrives before its handler is installed ends the process.
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).wrap_err("cannot take signals")?;
    let settings = platform::Settings::from_env()?;
    let policy = policy::read(options.policy.as_deref())?;
    if options.check {
        println!("settings of {} are right", settings.node_name);
        return Ok(());
    }
    let logs = telemetry::logs::init_bounded(&options.log)?;
    tracing::info!(
        node = settings.node_name,
        domain = settings.availability_zone,
        version = env!("CARGO_PKG_VERSION"),
        "daemon: starting"
    );
    let options = platform::Options {
        policy,
        fleet: options.fleet.clone(),
        advertise: options.advertise,
        source: options.source,
        dropped_logs: logs.dropped(),
    };
    let daemon = platform::start(&settings, options)?;
    for signal in signals.forever() {
        match signal {
            SIGHUP => reload(&settings),
            signal => {
                tracing::info!(signal, "daemon: stopping");
                break;
            }
        }
    }
    daemon.stop();
    tracing::info!("daemon: stopped");
    Ok(())
}

/// Re-reads the settings and logs whether they changed, without applying them: addresses are fixed
/// for the life of the process, and the file has no other value that may change while it runs.
fn reload(old: &platform::Settings) {
    match platform::Settings::from_env() {
        Ok(new) => tracing::info!(changed = new != *old, "daemon: settings read again"),
        Err(e) => tracing::error!("daemon: settings cannot be read again, the old ones hold: {e}"),
    }
}
