//! Starts and stops the server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use telemetry::metrics::Metrics;

use crate::auth::Tokens;
use crate::command::Submit;
use crate::gate::{Bounds, Gate, Inside};
use crate::health::Health;
use crate::routes::Api;

/// How often the server looks whether it shall stop.
const STOP_INTERVAL: Duration = Duration::from_secs(1);

/// What the server needs.
pub struct Config {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// What connections may hold.
    pub bounds: Bounds,
    /// Who may call.
    pub tokens: Tokens,
    /// Hands commands to the control thread.
    pub submit: Submit,
    /// Shown at `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Shown at `/healthz` and `/readyz`.
    pub health: Arc<Health>,
}

/// Why the server did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be listened on.
    #[error("operators' address {address}: {reason}; choose another in operators.listen")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        reason: String,
    },
    /// The system gave no thread.
    #[error("no thread for the operators' API: {0}")]
    Thread(#[from] std::io::Error),
}

/// A server that runs.
pub struct Handle {
    address: SocketAddr,
    gate: Gate,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more requests and waits until its thread has ended, a second or so.
    pub fn stop(self) {
        self.gate.stop();
        self.stop.store(true, Ordering::Release);
        if self.thread.join().is_err() {
            tracing::warn!("operators: the server's thread had panicked");
        }
    }
}

/// Starts the server.
///
/// # Errors
/// When the address cannot be listened on or the system gives no thread.
pub fn start(cfg: Config) -> Result<Handle, StartError> {
    let api = Arc::new(Api {
        tokens: cfg.tokens,
        submit: cfg.submit,
        metrics: cfg.metrics,
        health: cfg.health,
    });
    let server = listen(&api).map_err(|reason| StartError::Listen {
        address: cfg.listen,
        reason,
    })?;
    let inside = Arc::new(Inside::new(server.server_addr()));
    let gate = Gate::open(cfg.listen, Arc::clone(&inside), cfg.bounds).map_err(|e| {
        StartError::Listen {
            address: cfg.listen,
            reason: e.to_string(),
        }
    })?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = Arc::clone(&stop);
    let thread = thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || serve(server, &api, &inside, &stopping))?;
    let address = gate.address();
    tracing::info!("operators: listening on {address}");
    Ok(Handle {
        address,
        gate,
        stop,
        thread,
    })
}

type Server = rouille::Server<Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync>>;

/// rouille on a free port of loopback; only the gate connects to it.
fn listen(api: &Arc<Api>) -> Result<Server, String> {
    let api = Arc::clone(api);
    let handler: Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync> =
        Box::new(move |req| api.handle(req));
    rouille::Server::new("127.0.0.1:0", handler).map_err(|e| e.to_string())
}

/// Serves until told to stop.
///
/// rouille's accept thread ends for good on any error, such as too many open files: the
/// API would be dead while the daemon lives. The gate sees this as a refused connection
/// and says so; the server is then made anew.
fn serve(mut server: Server, api: &Arc<Api>, inside: &Inside, stop: &AtomicBool) {
    while !stop.load(Ordering::Acquire) {
        server.poll_timeout(STOP_INTERVAL);
        if !inside.is_broken() {
            continue;
        }
        match listen(api) {
            Ok(again) => {
                inside.replace(again.server_addr());
                server = again;
                tracing::warn!("operators: server made anew after its listener failed");
            }
            Err(e) => tracing::warn!("operators: server cannot be made anew: {e}"),
        }
    }
}
