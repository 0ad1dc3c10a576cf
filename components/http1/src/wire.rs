//! One connection with the bytes read from it so far.

use std::cell::{Cell, RefCell};
use std::future::{pending, poll_fn};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsRawFd;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};

use crate::frames::Frames;

/// Space reserved for one read, in bytes. An event has a few hundred bytes and a prompt a few
/// thousand; larger bodies take several reads.
const READ_BYTES: usize = 8 * 1024;

/// Most bytes discarded before a connection is closed: those that the peer sent before it read
/// the answer. A peer that keeps writing gets a reset.
const MAX_DRAIN_BYTES: usize = 1024 * 1024;

/// Interval at which it is checked whether sent bytes were acknowledged.
const ACK_POLL: Duration = Duration::from_millis(10);
/// Time within which a peer that has closed its side must take more of what was sent.
const ACK_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeouts after which a connection to a silent peer is closed.
#[derive(Debug, Clone, Copy)]
pub struct WireOptions {
    /// Longest time that sent bytes may stay unacknowledged. The kernel gives up keep-alive probes
    /// by it too, whatever their number.
    pub user_timeout: Duration,
    /// Idle time before the first keep-alive probe, and the interval between probes.
    pub keepalive: Duration,
}

/// A connection that can be read from, written to and watched through a shared reference.
#[derive(Debug)]
pub struct Wire {
    stream: RefCell<TcpStream>,
    buf: RefCell<BytesMut>,
    /// Decodes what is read, on a connection whose bytes arrive in frames.
    frames: Option<RefCell<Frames>>,
    has_failed_write: Cell<bool>,
    /// Set while it is waited until sent bytes are acknowledged.
    unacknowledged: Cell<Option<Unacknowledged>>,
}

/// Sent bytes that the peer has not acknowledged.
#[derive(Debug, Clone, Copy)]
struct Unacknowledged {
    bytes: usize,
    /// Time by which there must be fewer.
    stalls_at: Instant,
}

/// Opens a connection, from a local address if one is given.
///
/// # Errors
/// If the peer cannot be reached or the local address is not one of this host.
pub async fn connect(
    address: SocketAddr,
    source: Option<IpAddr>,
    options: WireOptions,
) -> io::Result<Wire> {
    let socket = TcpSocket::new_v4()?;
    if let Some(source) = source {
        socket.bind((source, 0).into())?;
    }
    let stream = socket.connect(address).await?;
    Wire::new(stream, options)
}

impl Wire {
    /// Sets the options of a connection and wraps it.
    ///
    /// # Errors
    /// If the options cannot be set.
    pub fn new(stream: TcpStream, options: WireOptions) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(options.keepalive)
            .with_interval(options.keepalive);
        socket.set_tcp_keepalive(&keepalive)?;
        // An unreachable peer neither acknowledges nor resets. Without this timeout the kernel
        // retransmits for a quarter of an hour.
        socket.set_tcp_user_timeout(Some(options.user_timeout))?;
        Ok(Self {
            stream: RefCell::new(stream),
            buf: RefCell::default(),
            frames: None,
            has_failed_write: Cell::default(),
            unacknowledged: Cell::default(),
        })
    }

    /// Reads frames from now on, and ends with the frame that marks the end.
    #[must_use]
    pub fn framed(self) -> Self {
        Self {
            frames: Some(RefCell::default()),
            ..self
        }
    }

    /// Whether the connection leads through a peer, in frames.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        self.frames.is_some()
    }

    /// Bytes that were read and not yet consumed.
    pub fn buf(&self) -> std::cell::RefMut<'_, BytesMut> {
        self.buf.borrow_mut()
    }

    /// Waits for more bytes and returns their number; 0 if the peer has closed its side.
    ///
    /// # Errors
    /// If the connection broke.
    pub async fn fill(&self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Uses the runtime's own read, which treats a read that does not fill the buffer as the last
    /// one. A further read after each event of a stream, which finds nothing, would be one system
    /// call in four.
    fn poll_fill(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(frames) = &self.frames else {
            return self.poll_read(cx, &mut self.buf.borrow_mut());
        };
        let mut frames = frames.borrow_mut();
        loop {
            if let Some(frame) = frames.next_frame()? {
                self.buf.borrow_mut().extend_from_slice(&frame);
                return Poll::Ready(Ok(frame.len()));
            }
            let read = ready!(self.poll_read(cx, &mut frames.encoded))?;
            if read == 0 {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut BytesMut) -> Poll<io::Result<usize>> {
        let mut stream = self.stream.borrow_mut();
        buf.reserve(READ_BYTES);
        let read = pin!(stream.read_buf(buf));
        read.poll(cx)
    }

    fn try_fill(&self) -> io::Result<usize> {
        let mut buf = self.buf.borrow_mut();
        buf.reserve(READ_BYTES);
        self.stream.borrow().try_read_buf(&mut *buf)
    }

    /// Waits until the peer closes its side of the connection, or the connection breaks.
    ///
    /// Bytes that arrive meanwhile, such as a pipelined request, are buffered up to `max_bytes`.
    /// Beyond that a close is no longer detected.
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

    /// Whether the connection is open and there are no bytes to read. One in frames serves a single
    /// exchange, so it is never idle.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        if self.is_framed() {
            return false;
        }
        let waiting = self.try_fill();
        let would_block = matches!(&waiting, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        would_block && self.buf.borrow().is_empty()
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// If the connection broke.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        poll_fn(|cx| self.poll_write_all(cx, &mut bytes)).await
    }

    fn poll_write_all(&self, cx: &mut Context<'_>, bytes: &mut &[u8]) -> Poll<io::Result<()>> {
        let mut stream = self.stream.borrow_mut();
        while !bytes.is_empty() {
            let written = ready!(Pin::new(&mut *stream).poll_write(cx, bytes));
            let written = written.inspect_err(|_| self.has_failed_write.set(true))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            bytes.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    /// Waits until the peer, which has closed its side, has taken everything that was written. May be
    /// dropped and called again.
    ///
    /// Until then the end of its data says little: a program that stops reading may close its side
    /// first and reset the connection later. Through a peer there is nothing to wait for, because the
    /// end frame is the last thing that the peer sends.
    ///
    /// # Errors
    /// If the connection broke, or the peer takes no more.
    pub async fn acknowledged(&self) -> io::Result<()> {
        while !self.is_acknowledged()? {
            sleep(ACK_POLL).await;
        }
        Ok(())
    }

    fn is_acknowledged(&self) -> io::Result<bool> {
        // A write that failed has taken the error from the socket.
        if self.has_failed_write.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if let Some(e) = self.stream.borrow().take_error()? {
            return Err(e);
        }
        let (now, bytes) = (Instant::now(), self.unacknowledged_bytes());
        let before = self.unacknowledged.get();
        let stalls_at = match before {
            Some(before) if before.bytes <= bytes => before.stalls_at,
            _ => now + ACK_STALL_TIMEOUT,
        };
        self.unacknowledged
            .set(Some(Unacknowledged { bytes, stalls_at }));
        match bytes {
            0 => Ok(true),
            _ if self.is_framed() || now >= stalls_at => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(false),
        }
    }

    /// Bytes that were written and not acknowledged by the peer; 0 where the system doesn't tell.
    fn unacknowledged_bytes(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        let socket = self.stream.borrow().as_raw_fd();
        // SAFETY: the socket is open while it is borrowed, and the result fits into the number.
        #[expect(unsafe_code, reason = "no library wraps this call")]
        let result = unsafe { libc::ioctl(socket, libc::TIOCOUTQ, &raw mut bytes) };
        match result {
            0 => usize::try_from(bytes).unwrap_or(0),
            _ => 0,
        }
    }

    /// Resets the connection, so that the peer cannot take its end for that of a message.
    pub fn reset(self) {
        // On a connection that is closed already there is nothing to reset.
        let _ = SockRef::from(&*self.stream.borrow()).set_linger(Some(Duration::ZERO));
    }

    /// Closes the connection so that the peer still gets everything that was written.
    ///
    /// Closing a socket with unread bytes resets it, and the reset may discard an answer that the
    /// peer has not read yet. So the sending side is closed first, and what the peer sends is
    /// discarded until it closes, for at most `timeout`.
    pub async fn close(self, timeout: Duration) {
        let shut = SockRef::from(&*self.stream.borrow()).shutdown(std::net::Shutdown::Write);
        if shut.is_err() {
            return;
        }
        let drained = async {
            let mut left = MAX_DRAIN_BYTES;
            while let Ok(read) = self.fill().await
                && (1..left).contains(&read)
            {
                left -= read;
                self.buf.borrow_mut().clear();
            }
        };
        // A peer that does not close in time gets a reset.
        let _ = tokio::time::timeout(timeout, drained).await;
    }
}
