//! The door of the server: bounds what connections can hold.
//!
//! rouille has no bound on connections, on the length of a head or on the time that a
//! caller takes, and gives no access to its sockets. So it listens on loopback, and this
//! gate accepts on the operators' address and copies bytes both ways. A connection too
//! many is closed at once; one that sends or takes nothing for a while, lasts too long or
//! sends more than a request may have is cut. Without it, a few hundred sleeping
//! connections would hold the threads and files that callers' traffic needs.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What connections may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Connections at once.
    pub connections: usize,
    /// A connection that sends or takes nothing for so long is cut.
    pub idle: Duration,
    /// A connection is cut after so long whatever it does.
    pub age: Duration,
    /// Most bytes that a connection may send over its life.
    pub sent: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 64,
            idle: Duration::from_secs(30),
            age: Duration::from_secs(300),
            sent: 16 << 20,
        }
    }
}

/// Pause after a failed accept, as when the process has too many files open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);
const BUFFER: usize = 16 << 10;
const STACK: usize = 128 << 10;

/// Where the server listens behind the gate.
#[derive(Debug)]
pub(crate) struct Inside {
    address: Mutex<SocketAddr>,
    broken: AtomicBool,
}

impl Inside {
    /// A server that listens.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address: Mutex::new(address),
            broken: AtomicBool::new(false),
        }
    }

    /// Whether connections to it were refused.
    pub(crate) fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Acquire)
    }

    /// Another server listens instead.
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

/// The accepting thread.
#[derive(Debug)]
pub(crate) struct Gate {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
}

impl Gate {
    /// Begins to accept on an address.
    pub(crate) fn open(
        listen: SocketAddr,
        inside: Arc<Inside>,
        bounds: Bounds,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopping = Arc::clone(&stop);
        thread::Builder::new()
            .name("operators-gate".to_owned())
            .stack_size(STACK)
            .spawn(move || accept(&listener, &inside, bounds, &stopping))?;
        Ok(Self { address, stop })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections.
    pub(crate) fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        // Wakes the accepting thread, which then sees that it shall stop. When this
        // fails the listener is gone already.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, inside: &Arc<Inside>, bounds: Bounds, stop: &AtomicBool) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = listener.accept();
        if stop.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((stream, _)) => admit(stream, inside, bounds, &open),
            Err(e) => {
                tracing::warn!("operators: a connection could not be accepted: {e}");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// Serves a connection on threads of its own, or drops it when there are too many.
fn admit(stream: TcpStream, inside: &Arc<Inside>, bounds: Bounds, open: &Arc<AtomicUsize>) {
    if open.fetch_add(1, Ordering::AcqRel) >= bounds.connections {
        open.fetch_sub(1, Ordering::AcqRel);
        tracing::debug!(
            "operators: {} connections are open, one more closed",
            bounds.connections
        );
        return;
    }
    let slot = Slot(Arc::clone(open));
    let inside = Arc::clone(inside);
    let spawned = thread::Builder::new()
        .name("operators-conn".to_owned())
        .stack_size(STACK)
        .spawn(move || {
            let _slot = slot;
            if let Err(e) = relay(&stream, &inside, bounds) {
                tracing::debug!("operators: connection ended: {e}");
            }
        });
    if let Err(e) = spawned {
        tracing::warn!("operators: no thread for a connection: {e}");
    }
}

/// A place among the connections, given back when dropped.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Copies both ways until both sides have ended.
fn relay(outer: &TcpStream, inside: &Inside, bounds: Bounds) -> io::Result<()> {
    let inner = inside.connect()?;
    let deadline = Instant::now() + bounds.age;
    for stream in [outer, &inner] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(bounds.idle))?;
        stream.set_write_timeout(Some(bounds.idle))?;
    }
    thread::scope(|scope| {
        let answers = thread::Builder::new().stack_size(STACK);
        let answers = answers.spawn_scoped(scope, || copy(&inner, outer, deadline, u64::MAX))?;
        // However this ends, the server then sees the end of what is asked, and ends the
        // answer under way; so a caller who only listens is not cut in mid-answer.
        let sent = copy(outer, &inner, deadline, bounds.sent);
        answers.join().unwrap_or(Ok(()))?;
        sent
    })
}

/// Copies until the end, an error, the deadline or the bound, then closes that way.
fn copy(mut from: &TcpStream, mut to: &TcpStream, deadline: Instant, bound: u64) -> io::Result<()> {
    let mut buf = [0; BUFFER];
    let mut copied = 0;
    let result = loop {
        let read = match from.read(&mut buf) {
            Ok(0) => break Ok(()),
            Ok(read) => read,
            Err(e) => break Err(e),
        };
        copied += read as u64;
        if copied > bound || Instant::now() >= deadline {
            break Err(io::Error::other("it lasted too long or sent too much"));
        }
        if let Err(e) = to.write_all(&buf[..read]) {
            break Err(e);
        }
    };
    // Closing what is closed already is no error.
    let _ = from.shutdown(Shutdown::Read);
    let _ = to.shutdown(Shutdown::Write);
    result
}
