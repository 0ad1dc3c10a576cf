//! One connection and the bytes read from it so far.

use std::cell::RefCell;
use std::future::{pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};

/// Read from the kernel at a time, in bytes: an event is some hundred, a prompt some
/// thousand; larger bodies take several reads.
const READ_BYTES: usize = 8 * 1024;

/// Read away at most before a connection is closed, in bytes: what a peer had on its way when
/// it was answered. One that writes on without end gets the reset.
const MAX_READ_AWAY: usize = 1024 * 1024;

/// Times after which a connection that has gone silent is given up.
#[derive(Debug, Clone, Copy)]
pub struct WireOptions {
    /// Unacknowledged bytes break the connection after.
    pub user_timeout: Duration,
    /// An idle connection is probed after, and then as often.
    pub keepalive: Duration,
}

/// A connection that can be read, written and watched through a shared reference.
#[derive(Debug)]
pub struct Wire {
    stream: RefCell<TcpStream>,
    buf: RefCell<BytesMut>,
}

/// Opens a connection.
///
/// # Errors
/// When the peer cannot be reached.
pub async fn connect(address: SocketAddr, options: WireOptions) -> io::Result<Wire> {
    let socket = TcpSocket::new_v4()?;
    let stream = socket.connect(address).await?;
    Wire::new(stream, options)
}

impl Wire {
    /// Wraps a connection.
    ///
    /// # Errors
    /// When its options cannot be set.
    pub fn new(stream: TcpStream, options: WireOptions) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(options.keepalive)
            .with_interval(options.keepalive);
        socket.set_tcp_keepalive(&keepalive)?;
        // Guards against a peer behind a cut: its connections neither answer nor reset, and
        // without this the kernel repeats the bytes for a quarter of an hour.
        socket.set_tcp_user_timeout(Some(options.user_timeout))?;
        Ok(Self {
            stream: RefCell::new(stream),
            buf: RefCell::default(),
        })
    }

    /// Bytes read and not yet taken.
    pub fn buf(&self) -> std::cell::RefMut<'_, BytesMut> {
        self.buf.borrow_mut()
    }

    /// Waits for more bytes; 0 at the peer's end of the connection.
    ///
    /// # Errors
    /// When the connection broke.
    pub async fn fill(&self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Reads by the runtime's own way, which takes a read that fills less than the buffer for
    /// the last one: asking the kernel once more for each event of a stream, only to be told
    /// that there is nothing, was one system call in four.
    fn poll_fill(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut stream = self.stream.borrow_mut();
        let mut buf = self.buf.borrow_mut();
        buf.reserve(READ_BYTES);
        let read = pin!(stream.read_buf(&mut *buf));
        read.poll(cx)
    }

    fn try_fill(&self) -> io::Result<usize> {
        let mut buf = self.buf.borrow_mut();
        buf.reserve(READ_BYTES);
        self.stream.borrow().try_read_buf(&mut *buf)
    }

    /// Waits for the peer's end while it has nothing to say.
    ///
    /// Bytes that arrive meanwhile (a pipelined request) are kept up to `max_bytes`; after
    /// that the end is no longer seen.
    pub async fn closed(&self, max_bytes: usize) {
        loop {
            if self.buf.borrow().len() >= max_bytes {
                pending::<()>().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Whether the connection is quiet: no byte waits and the peer has not closed it.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let waiting = self.try_fill();
        let would_block = matches!(&waiting, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        would_block && self.buf.borrow().is_empty()
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// When the connection broke.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        poll_fn(|cx| self.poll_write_all(cx, &mut bytes)).await
    }

    fn poll_write_all(&self, cx: &mut Context<'_>, bytes: &mut &[u8]) -> Poll<io::Result<()>> {
        let mut stream = self.stream.borrow_mut();
        while !bytes.is_empty() {
            let written = ready!(Pin::new(&mut *stream).poll_write(cx, bytes))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            bytes.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Ends the connection so that the peer still gets what was written.
    ///
    /// Closing a socket with unread bytes resets it, and the reset may overtake the answer
    /// in the peer's buffers; so the sending side is closed and the rest read away first.
    pub async fn close(self, patience: Duration) {
        let shut = SockRef::from(&*self.stream.borrow()).shutdown(std::net::Shutdown::Write);
        if shut.is_err() {
            return;
        }
        let drained = async {
            let mut left = MAX_READ_AWAY;
            while let Ok(read) = self.fill().await
                && (1..left).contains(&read)
            {
                left -= read;
                self.buf.borrow_mut().clear();
            }
        };
        // A peer that does not close in time gets the reset.
        let _ = tokio::time::timeout(patience, drained).await;
    }
}
