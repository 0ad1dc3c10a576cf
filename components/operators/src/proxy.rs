//! TCP proxy in front of the server that limits the resources which connections can hold.
//!
//! rouille limits neither the number of connections, nor the length of a request head, nor the time
//! that a client takes, and gives no access to its sockets. It therefore listens on loopback, and
//! this proxy accepts on the operators' address and copies bytes in both directions. A connection
//! beyond the limit is closed at once; one that is idle or open for too long, or sends more
//! bytes than a request may have, is cut. Without these limits, a few hundred idle connections
//! would hold the threads and file descriptors that callers' traffic needs.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Limits on connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Number of simultaneous connections.
    pub max_connections: usize,
    /// A connection is cut when a read from it or a write to it waits for this long.
    pub idle_timeout: Duration,
    /// A connection is cut at this age, even if it is active.
    pub max_age: Duration,
    /// Bytes that a client may send over one connection.
    pub max_sent_bytes: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_connections: 64,
            idle_timeout: Duration::from_secs(30),
            max_age: Duration::from_secs(300),
            max_sent_bytes: 16 << 20,
        }
    }
}

/// Pause after a failed accept, so that the thread does not spin when the process has too many open
/// files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
const BUFFER_BYTES: usize = 16 << 10;
const STACK_BYTES: usize = 128 << 10;

/// The server behind the proxy, which may be replaced while the proxy runs.
#[derive(Debug)]
pub(crate) struct Backend {
    address: Mutex<SocketAddr>,
    broken: AtomicBool,
}

impl Backend {
    /// Creates the state of a server that listens on `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address: Mutex::new(address),
            broken: AtomicBool::new(false),
        }
    }

    /// Returns whether a connection to the server was refused since it was last replaced.
    pub(crate) fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Acquire)
    }

    /// Directs new connections to another server.
    pub(crate) fn replace(&self, address: SocketAddr) {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = address;
        self.broken.store(false, Ordering::Release);
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let address = *self.address.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = TcpStream::connect(address);
        if let Err(e) = &stream
            && e.kind() == io::ErrorKind::ConnectionRefused
        {
            self.broken.store(true, Ordering::Release);
        }
        stream
    }
}

/// Handle of the accepting thread.
#[derive(Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Proxy {
    /// Binds an address and starts to accept connections on it.
    pub(crate) fn open(
        listen: SocketAddr,
        backend: Arc<Backend>,
        bounds: Bounds,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&stop);
        thread::Builder::new()
            .name("operators-gate".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || accept(&listener, &backend, bounds, &stopping))?;
        Ok(Self { address, stop })
    }

    /// Returns the address on which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections.
    pub(crate) fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        // This connection wakes the accepting thread, which then checks `stop`. If it fails, the
        // listener is already closed.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, backend: &Arc<Backend>, bounds: Bounds, stop: &AtomicBool) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = listener.accept();
        if stop.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, _)) => admit(stream, backend, bounds, &open),
            Err(e) => {
                tracing::warn!("operators: a connection could not be accepted: {e}");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// Relays a connection in its own threads, or closes it if there are too many.
fn admit(stream: TcpStream, backend: &Arc<Backend>, bounds: Bounds, open: &Arc<AtomicUsize>) {
    if open.fetch_add(1, Ordering::AcqRel) >= bounds.max_connections {
        open.fetch_sub(1, Ordering::AcqRel);
        tracing::debug!(
            "operators: connection closed because the limit of {} is reached",
            bounds.max_connections
        );
        return;
    }
    let slot = Slot(Arc::clone(open));
    let backend = Arc::clone(backend);
    let spawned = thread::Builder::new()
        .name("operators-conn".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _slot = slot;
            if let Err(e) = relay(&stream, &backend, bounds) {
                tracing::debug!("operators: connection ended: {e}");
            }
        });
    if let Err(e) = spawned {
        tracing::warn!("operators: no thread for a connection: {e}");
    }
}

/// A counted connection; dropping it frees its place.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Copies in both directions until both sides have ended.
fn relay(outer: &TcpStream, backend: &Backend, bounds: Bounds) -> io::Result<()> {
    let inner = backend.connect()?;
    let deadline = Instant::now() + bounds.max_age;
    for stream in [outer, &inner] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(bounds.idle_timeout))?;
        stream.set_write_timeout(Some(bounds.idle_timeout))?;
    }
    thread::scope(|scope| {
        let answers = thread::Builder::new().stack_size(STACK_BYTES);
        let answers = answers.spawn_scoped(scope, || copy(&inner, outer, deadline, u64::MAX))?;
        // However this copy ends, also by the idle timeout, the server then sees the end of the
        // requests and finishes the answer in progress. A client that only receives thus still gets
        // the whole answer.
        let sent = copy(outer, &inner, deadline, bounds.max_sent_bytes);
        answers.join().unwrap_or(Ok(()))?;
        sent
    })
}

/// Copies until the end of the stream, an error, the deadline or more than `bound` bytes, then
/// shuts down this direction.
fn copy(mut from: &TcpStream, mut to: &TcpStream, deadline: Instant, bound: u64) -> io::Result<()> {
    let mut buf = [0; BUFFER_BYTES];
    let mut copied = 0;
    let result = loop {
        let read = match from.read(&mut buf) {
            Ok(0) => break Ok(()),
            Ok(read) => read,
            Err(e) => break Err(e),
        };
        copied += read as u64;
        if copied > bound || Instant::now() >= deadline {
            break Err(io::Error::other(
                "connection open for too long, or too many bytes sent",
            ));
        }
        if let Err(e) = to.write_all(&buf[..read]) {
            break Err(e);
        }
    };
    // Either side may already be closed, which is no error here.
    let _ = from.shutdown(Shutdown::Read);
    let _ = to.shutdown(Shutdown::Write);
    result
}
