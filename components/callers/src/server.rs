//! The threads that serve callers, each with its own event loop.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http1::{Wire, WireOptions};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::Serve;
use crate::connection::{self, Limits, Shared};
use crate::listen::{accept, listen};

/// A connection is dead if its peer stays silent for 10 s while bytes are unacknowledged.
const WIRE_OPTIONS: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(10),
    keepalive: Duration::from_secs(10),
};
/// Interval of checks whether the last connections have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The server for callers could not start.
#[derive(Debug, thiserror::Error)]
#[error("callers: cannot listen on {address}: {source}")]
pub struct CallersError {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// Connection counts, for the dump and the metrics.
#[derive(Debug, Default)]
pub struct Counts {
    /// Number of open connections.
    pub open: AtomicUsize,
    /// Number of connections closed at once because too many were open.
    pub rejected: AtomicUsize,
}

/// Signals that the daemon is shutting down.
#[derive(Debug, Clone)]
pub(crate) struct ShutdownSignal(watch::Receiver<bool>);

impl ShutdownSignal {
    pub(crate) fn is_requested(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until a shutdown is requested.
    pub(crate) async fn requested(&self) {
        let mut rx = self.0.clone();
        // A dropped sender also means a shutdown.
        let _ = rx.wait_for(|is_requested| *is_requested).await;
    }
}

/// The running HTTP server for callers.
#[derive(Debug)]
pub struct Callers {
    address: SocketAddr,
    counts: Arc<Counts>,
    shutdown: watch::Sender<bool>,
    /// One channel for each thread, disconnected once the thread has ended.
    ended: Vec<flume::Receiver<()>>,
}

impl Callers {
    /// Listens at `address` and serves on `threads` new threads; `make` creates the handler of
    /// each thread.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start<S: Serve>(
        address: SocketAddr,
        threads: usize,
        limits: Limits,
        make: impl Fn() -> S + Clone + Send + 'static,
    ) -> Result<Self, CallersError> {
        let failed = |source| CallersError { address, source };
        let listener = listen(address).map_err(failed)?;
        let mut callers = Self {
            address: listener.local_addr().map_err(failed)?,
            counts: Arc::new(Counts::default()),
            shutdown: watch::Sender::new(false),
            ended: Vec::new(),
        };
        for index in 0..threads {
            let listener = listener.try_clone().map_err(failed)?;
            callers.spawn(index, listener, limits, make.clone());
        }
        Ok(callers)
    }

    fn spawn<S: Serve>(
        &mut self,
        index: usize,
        listener: StdListener,
        limits: Limits,
        make: impl FnOnce() -> S + Send + 'static,
    ) {
        let shutdown = ShutdownSignal(self.shutdown.subscribe());
        let counts = self.counts.clone();
        let (running, ended) = flume::bounded::<()>(0);
        let thread = std::thread::Builder::new().name(format!("callers-{index}"));
        let spawned = thread.spawn(move || {
            let shared = Shared {
                limits,
                serve: make(),
                shutdown,
            };
            run(listener, shared, &counts);
            drop(running);
        });
        match spawned {
            Ok(_) => self.ended.push(ended),
            Err(error) => tracing::error!("callers: cannot start a thread: {error}"),
        }
    }

    /// The address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connection counts.
    #[must_use]
    pub fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    /// Stops accepting connections and closes each open one after its current answer. Waits until
    /// all have ended, for at most `timeout`, and returns how many are still open and so are cut.
    #[must_use]
    pub fn close(mut self, timeout: Duration) -> usize {
        let deadline = Instant::now() + timeout;
        self.shutdown.send_replace(true);
        for ended in self.ended.drain(..) {
            let _ = ended.recv_deadline(deadline);
        }
        self.counts.open.load(Ordering::Acquire)
    }
}

fn run<S: Serve>(listener: StdListener, shared: Shared<S>, counts: &Arc<Counts>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, serve(listener, shared, counts)),
        Err(error) => tracing::error!("callers: cannot start a runtime: {error}"),
    }
}

async fn serve<S: Serve>(listener: StdListener, shared: Shared<S>, counts: &Arc<Counts>) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!("callers: cannot listen: {error}"),
    };
    let shared = Rc::new(shared);
    let shutdown = shared.shutdown.clone();
    loop {
        tokio::select! {
            biased;
            () = shutdown.requested() => break,
            (stream, caller) = accept(&listener) => {
                spawn_connection(stream, caller, &shared, counts)
            }
        }
    }
    drop(listener);
    // Each connection's task holds a reference to `shared`.
    while Rc::strong_count(&shared) > 1 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Serves a connection in a new task, or closes it if too many are open.
fn spawn_connection<S: Serve>(
    stream: TcpStream,
    caller: SocketAddr,
    shared: &Rc<Shared<S>>,
    counts: &Arc<Counts>,
) {
    if counts.open.fetch_add(1, Ordering::AcqRel) >= shared.limits.connections {
        counts.open.fetch_sub(1, Ordering::AcqRel);
        counts.rejected.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let open = OpenGuard(counts.clone());
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let _open = open;
        match Wire::new(stream, WIRE_OPTIONS) {
            Ok(wire) => connection::run(wire, caller, shared).await,
            Err(error) => tracing::debug!("callers: a connection cannot be set up: {error}"),
        }
    });
}

/// Counts a connection as closed when its task ends, however it ends.
struct OpenGuard(Arc<Counts>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}
