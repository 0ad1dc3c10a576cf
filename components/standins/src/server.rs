//! The HTTP server that every stand-in runs: hyper on its own thread.
//!
//! For fault injection, a handler may return no reply, which closes the connection, and the
//! sender of a streamed reply may break it early.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::{mpsc, oneshot};

/// Largest request body accepted; a larger one breaks the connection.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Length of the queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 4096;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Stack size of a stand-in's thread.
const STACK_BYTES: usize = 1 << 20;

/// A request as received by a stand-in.
#[derive(Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query string without the `?`, empty when absent.
    pub query: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
}

impl Call {
    /// Returns the text of a header, empty when it is absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// A reply of a stand-in.
#[derive(Debug)]
pub struct Reply {
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
    body: ReplyBody,
}

impl Reply {
    /// Creates a reply with a JSON body.
    #[must_use]
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        let body = Bytes::from(value.to_string());
        Self::bytes(status, "application/json", body)
    }

    /// Creates a reply with a complete body.
    #[must_use]
    pub fn bytes(status: u16, content_type: &str, body: Bytes) -> Self {
        Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers: vec![("content-type", content_type.to_owned())],
            body: ReplyBody::Whole(Some(body)),
        }
    }

    /// Creates a reply with status 200 whose body is sent piece by piece as received.
    #[must_use]
    pub fn stream(content_type: &str, pieces: mpsc::UnboundedReceiver<Piece>) -> Self {
        Self {
            status: StatusCode::OK,
            headers: vec![("content-type", content_type.to_owned())],
            body: ReplyBody::Pieces(pieces),
        }
    }

    /// Adds a header, replacing an earlier one of the same name.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    fn into_response(self) -> Response<ReplyBody> {
        let mut response = Response::new(self.body);
        *response.status_mut() = self.status;
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                let name = HeaderName::from_static(name);
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

/// A piece of a streamed body; an error breaks the connection.
pub type Piece = Result<Bytes, Broken>;

/// Error that breaks the connection without ending the reply properly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in broke the connection on purpose")
    }
}

impl std::error::Error for Broken {}

/// Delay between the last piece and the break, so that the piece is sent before it.
const BREAK_DELAY: Duration = Duration::from_millis(5);

/// Breaks a streamed reply after a delay in which the pieces so far are sent. Must be called
/// from the server's runtime.
pub fn break_after_delay(pieces: mpsc::UnboundedSender<Piece>) {
    tokio::spawn(async move {
        tokio::time::sleep(BREAK_DELAY).await;
        // Fails when the client has disconnected, which needs no break.
        let _ = pieces.send(Err(Broken));
    });
}

#[derive(Debug)]
enum ReplyBody {
    Whole(Option<Bytes>),
    Pieces(mpsc::UnboundedReceiver<Piece>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(body.take().map(|b| Ok(Frame::data(b)))),
            Self::Pieces(pieces) => pieces
                .poll_recv(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Whole(Some(body)) => hyper::body::SizeHint::with_exact(body.len() as u64),
            Self::Whole(None) => hyper::body::SizeHint::with_exact(0),
            Self::Pieces(_) => hyper::body::SizeHint::default(),
        }
    }
}

/// Handles the requests to a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `None` closes the connection without an answer. The future is
    /// dropped when the client disconnects first.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Option<Reply>> + Send;

    /// Runs concurrently with the requests until the stand-in stops.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// A running server, which stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<Infallible>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds the address and serves requests on a new thread of this name.
    ///
    /// # Errors
    /// Fails when the address can't be bound or the thread can't be started.
    pub fn start(name: &str, address: SocketAddr, handler: Arc<impl Handler>) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || runtime.block_on(run(listener, handler, stopped)))?;
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops immediately and breaks open connections.
    pub fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The panic handler has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

async fn run(
    listener: std::net::TcpListener,
    handler: Arc<impl Handler>,
    stopped: oneshot::Receiver<Infallible>,
) {
    tokio::spawn(Arc::clone(&handler).background());
    tokio::select! {
        _ = stopped => {}
        () = accept(listener, handler) => {}
    }
}

async fn accept(listener: std::net::TcpListener, handler: Arc<impl Handler>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    loop {
        // The client disconnected or file descriptors ran out; a later accept may succeed.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
    }
}

async fn serve_connection(stream: tokio::net::TcpStream, handler: Arc<impl Handler>) {
    let service = hyper::service::service_fn(move |req| answer(req, Arc::clone(&handler)));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Ends with an error whenever a client disconnects or a fault breaks the connection.
    let _ = connection.await;
}

async fn answer(
    req: Request<Incoming>,
    handler: Arc<impl Handler>,
) -> Result<Response<ReplyBody>, Broken> {
    let (head, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|_| Broken)?.to_bytes();
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    let reply = handler.handle(call).await;
    reply.map(Reply::into_response).ok_or(Broken)
}
