//! Servers that send scripted bytes: answers that are no valid HTTP, have no end, or break off.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size of what is read of a request, in bytes.
const READ_BYTES: usize = 4_096;
/// Size of one write of an answer without end, in bytes.
const BLOCK_BYTES: usize = 64 << 10;

/// Starts a server that follows a script on each connection, by the begin of the request.
///
/// # Errors
/// Fails when no port can be bound.
pub fn serve(
    script: impl Fn(&mut TcpStream, &str) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let script = Arc::new(script);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let script = Arc::clone(&script);
            std::thread::spawn(move || {
                let mut buf = [0; READ_BYTES];
                if let Ok(read @ 1..) = stream.read(&mut buf) {
                    script(&mut stream, &String::from_utf8_lossy(&buf[..read]));
                }
            });
        }
    });
    Ok(address)
}

/// Starts a server that sends the same bytes for each request and closes the connection.
///
/// # Errors
/// Fails when no port can be bound.
pub fn serve_bytes(answer: impl Into<Vec<u8>>) -> io::Result<SocketAddr> {
    let answer = answer.into();
    serve(move |stream, _| {
        // The client may have closed the connection.
        let _ = stream.write_all(&answer);
        let _ = stream.shutdown(Shutdown::Write);
        // Closing with unread bytes would reset the connection, and the answer with it.
        let _ = io::copy(stream, &mut io::sink());
    })
}

/// A server whose answers have no end.
#[derive(Debug)]
pub struct Endless {
    /// Address that it listens on.
    pub address: SocketAddr,
    taken: Arc<AtomicUsize>,
}

impl Endless {
    /// Starts a server that sends `begin` and then a piece again and again, until the client closes
    /// or `max` bytes were taken by all clients together.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub fn start(begin: &str, piece: &str, max: usize) -> io::Result<Self> {
        let taken = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&taken);
        let begin = begin.to_owned();
        let block = piece.repeat(BLOCK_BYTES / piece.len().max(1));
        let address = serve(move |stream, _| {
            let mut is_open = stream.write_all(begin.as_bytes()).is_ok();
            while is_open && count.load(Ordering::SeqCst) < max {
                is_open = stream.write_all(block.as_bytes()).is_ok();
                count.fetch_add(block.len(), Ordering::SeqCst);
            }
        })?;
        Ok(Self { address, taken })
    }

    /// Bytes that clients took, including those on the way.
    #[must_use]
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::SeqCst)
    }
}
