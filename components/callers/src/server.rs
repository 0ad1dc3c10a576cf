//! The threads that serve callers, an event loop each.

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

/// Connections that are silent this long while bytes are out are dead.
const WIRE: WireOptions = WireOptions {
    user_timeout: Duration::from_secs(10),
    keepalive: Duration::from_secs(10),
};
/// The end of the last connections is looked at this often.
const END_TICK: Duration = Duration::from_millis(10);

/// Why the callers' API could not start.
#[derive(Debug, thiserror::Error)]
#[error("callers: cannot listen on {address}: {source}")]
pub struct CallersError {
    /// The address asked for.
    pub address: SocketAddr,
    /// The system's reason.
    pub source: std::io::Error,
}

/// What the listener counted, for the dump and the metrics.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections open now.
    pub open: AtomicUsize,
    /// Connections closed at once since too many were open.
    pub turned_away: AtomicUsize,
}

/// Whether the daemon leaves.
#[derive(Debug, Clone)]
pub(crate) struct Closing(watch::Receiver<bool>);

impl Closing {
    pub(crate) fn is_told(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until it does.
    pub(crate) async fn told(&self) {
        let mut rx = self.0.clone();
        // A sender that is gone means the same.
        let _ = rx.wait_for(|is_told| *is_told).await;
    }
}

/// The running API.
#[derive(Debug)]
pub struct Callers {
    address: SocketAddr,
    counts: Arc<Counts>,
    closing: watch::Sender<bool>,
    /// One for each thread; disconnected once it has ended.
    ended: Vec<flume::Receiver<()>>,
}

impl Callers {
    /// Listens and serves on threads of its own; `make` makes what serves on each.
    ///
    /// # Errors
    /// When the address cannot be listened on.
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
            closing: watch::Sender::new(false),
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
        let closing = Closing(self.closing.subscribe());
        let counts = self.counts.clone();
        let (running, ended) = flume::bounded::<()>(0);
        let thread = std::thread::Builder::new().name(format!("callers-{index}"));
        let spawned = thread.spawn(move || {
            let shared = Shared {
                limits,
                serve: make(),
                closing,
            };
            run(listener, shared, &counts);
            drop(running);
        });
        match spawned {
            Ok(_) => self.ended.push(ended),
            Err(error) => tracing::error!("callers: cannot start a thread: {error}"),
        }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it counted.
    #[must_use]
    pub fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    /// Takes no new connections, ends each open one after its present answer, and
    /// returns once all have ended or `patience` is over: how many were cut.
    #[must_use]
    pub fn close(mut self, patience: Duration) -> usize {
        let deadline = Instant::now() + patience;
        self.closing.send_replace(true);
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
    let closing = shared.closing.clone();
    loop {
        tokio::select! {
            biased;
            () = closing.told() => break,
            (stream, caller) = accept(&listener) => take(stream, caller, &shared, counts),
        }
    }
    drop(listener);
    // Every connection's task holds the shared part.
    while Rc::strong_count(&shared) > 1 {
        tokio::time::sleep(END_TICK).await;
    }
}

fn take<S: Serve>(
    stream: TcpStream,
    caller: SocketAddr,
    shared: &Rc<Shared<S>>,
    counts: &Arc<Counts>,
) {
    if counts.open.fetch_add(1, Ordering::AcqRel) >= shared.limits.connections {
        counts.open.fetch_sub(1, Ordering::AcqRel);
        counts.turned_away.fetch_add(1, Ordering::Relaxed);
        return;
    }
    let open = OpenGuard(counts.clone());
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        let _open = open;
        match Wire::new(stream, WIRE) {
            Ok(wire) => connection::run(wire, caller, shared).await,
            Err(error) => tracing::debug!("callers: a connection cannot be set up: {error}"),
        }
    });
}

/// Counts a connection as closed however its task ends.
struct OpenGuard(Arc<Counts>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}
