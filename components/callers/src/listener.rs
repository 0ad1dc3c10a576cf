//! The listening socket and the threads that speak HTTP.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;

use crate::Serve;
use crate::connection::{self, Limits};

const BACKLOG: i32 = 1024;
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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

/// The running API.
#[derive(Debug)]
pub struct Callers {
    address: SocketAddr,
    counts: Arc<Counts>,
    closing: Arc<AtomicBool>,
    close: Vec<flume::Sender<()>>,
    /// One for each thread; disconnected once it has ended.
    ended: Vec<flume::Receiver<()>>,
}

impl Callers {
    /// Listens and serves on threads of its own.
    ///
    /// # Errors
    /// When the address cannot be listened on.
    pub fn start(
        address: SocketAddr,
        threads: usize,
        limits: Limits,
        serve: Arc<dyn Serve>,
    ) -> Result<Self, CallersError> {
        let listener = listen(address).map_err(|source| CallersError { address, source })?;
        let bound = listener
            .local_addr()
            .map_err(|source| CallersError { address, source })?;
        let counts = Arc::new(Counts::default());
        let closing = Arc::new(AtomicBool::new(false));
        let mut callers = Self {
            address: bound,
            counts,
            closing,
            close: Vec::new(),
            ended: Vec::new(),
        };
        for index in 0..threads {
            let listener = listener.try_clone();
            let listener = listener.map_err(|source| CallersError { address, source })?;
            callers.spawn(index, listener, limits, serve.clone());
        }
        Ok(callers)
    }

    fn spawn(
        &mut self,
        index: usize,
        listener: StdListener,
        limits: Limits,
        serve: Arc<dyn Serve>,
    ) {
        let (close, closed) = flume::bounded(1);
        self.close.push(close);
        let acceptor = Acceptor {
            limits,
            serve,
            counts: self.counts.clone(),
            closing: self.closing.clone(),
        };
        let (running, ended) = flume::bounded::<()>(0);
        let thread = std::thread::Builder::new().name(format!("callers-{index}"));
        let spawned = thread.spawn(move || {
            acceptor.run(listener, closed);
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
        self.closing.store(true, Ordering::Release);
        self.close.clear();
        for ended in self.ended.drain(..) {
            let _ = ended.recv_deadline(deadline);
        }
        self.counts.open.load(Ordering::Acquire)
    }
}

fn listen(address: SocketAddr) -> std::io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

struct Acceptor {
    limits: Limits,
    serve: Arc<dyn Serve>,
    counts: Arc<Counts>,
    closing: Arc<AtomicBool>,
}

impl Acceptor {
    fn run(self, listener: StdListener, closed: flume::Receiver<()>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(self.accept(listener, closed)),
            Err(error) => tracing::error!("callers: cannot start a runtime: {error}"),
        }
    }

    async fn accept(self, listener: StdListener, closed: flume::Receiver<()>) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => return tracing::error!("callers: cannot listen: {error}"),
        };
        let mut connections = tokio::task::JoinSet::new();
        while !self.closing.load(Ordering::Acquire) {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, caller)) => self.take(stream, caller, &closed, &mut connections),
                    Err(error) => {
                        tracing::warn!("callers: cannot accept: {error}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                Some(_) = connections.join_next() => {}
                _ = closed.recv_async() => break,
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn take(
        &self,
        stream: tokio::net::TcpStream,
        caller: SocketAddr,
        closed: &flume::Receiver<()>,
        connections: &mut tokio::task::JoinSet<()>,
    ) {
        if self.counts.open.fetch_add(1, Ordering::AcqRel) >= self.limits.connections {
            self.counts.open.fetch_sub(1, Ordering::AcqRel);
            self.counts.turned_away.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let _ = stream.set_nodelay(true);
        let open = OpenGuard(self.counts.clone());
        let (limits, serve, closed) = (self.limits, self.serve.clone(), closed.clone());
        connections.spawn(async move {
            let _open = open;
            connection::run(stream, caller, limits, serve, closed).await;
        });
    }
}

/// Counts a connection as closed however its task ends.
struct OpenGuard(Arc<Counts>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}
