//! Start and stop of the HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use telemetry::metrics::Metrics;

use crate::auth::Tokens;
use crate::command::Submit;
use crate::health::Health;
use crate::proxy::{Backend, Bounds, Proxy};
use crate::routes::Api;

/// Interval at which the server checks whether to stop or to replace its listener.
const STOP_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration and shared state of the server.
pub struct Config {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Limits on connections.
    pub bounds: Bounds,
    /// Tokens of the operators.
    pub tokens: Tokens,
    /// Passes commands to the control thread.
    pub submit: Submit,
    /// Metrics served at `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Health served at `/healthz` and `/readyz`.
    pub health: Arc<Health>,
}

/// Why the server did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be listened on.
    #[error("operators' address {address}: {reason}; choose another in operators.listen")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        reason: String,
    },
    /// The operating system could not start a thread.
    #[error("no thread for the operators' API: {0}")]
    Thread(#[from] std::io::Error),
}

/// Handle of a running server.
pub struct Handle {
    address: SocketAddr,
    proxy: Proxy,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// Returns the address on which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests and waits until the server's thread has ended, about a second.
    pub fn stop(self) {
        self.proxy.stop();
        self.stop.store(true, Ordering::Release);
        if self.thread.join().is_err() {
            tracing::warn!("operators: the server's thread panicked");
        }
    }
}

/// Starts the server.
///
/// # Errors
/// Fails if the address cannot be listened on or a thread cannot be started.
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
    let backend = Arc::new(Backend::new(server.server_addr()));
    let proxy = Proxy::open(cfg.listen, Arc::clone(&backend), cfg.bounds).map_err(|e| {
        StartError::Listen {
            address: cfg.listen,
            reason: e.to_string(),
        }
    })?;
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = Arc::clone(&stop);
    let thread = thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || serve(server, &api, &backend, &stopping))?;
    let address = proxy.address();
    tracing::info!("operators: listening on {address}");
    Ok(Handle {
        address,
        proxy,
        stop,
        thread,
    })
}

type Server = rouille::Server<Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync>>;

/// Starts rouille on a free loopback port, to which only the proxy connects.
fn listen(api: &Arc<Api>) -> Result<Server, String> {
    let api = Arc::clone(api);
    let handler: Box<dyn Fn(&rouille::Request) -> rouille::Response + Send + Sync> =
        Box::new(move |req| api.handle(req));
    rouille::Server::new("127.0.0.1:0", handler).map_err(|e| e.to_string())
}

/// Serves until `stop` is set.
///
/// rouille's accept thread ends permanently on any error, such as too many open files, which would
/// leave the API dead while the daemon runs. The proxy notices this as a refused connection and
/// marks the server as broken; a new server is then started.
fn serve(mut server: Server, api: &Arc<Api>, backend: &Backend, stop: &AtomicBool) {
    while !stop.load(Ordering::Acquire) {
        server.poll_timeout(STOP_INTERVAL);
        if !backend.is_broken() {
            continue;
        }
        match listen(api) {
            Ok(again) => {
                backend.replace(again.server_addr());
                server = again;
                tracing::warn!("operators: server made anew after its listener failed");
            }
            Err(e) => tracing::warn!("operators: the server cannot be restarted: {e}"),
        }
    }
}
