//! The HTTP server that every stand-in runs: hyper on a thread of its own.
//!
//! A handler may also give no reply at all, which closes the connection, and a streamed
//! reply ends early when its sender says so; both serve the faults.

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

/// Largest request body read.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;
/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);
/// Stack of a stand-in's thread.
const STACK_BYTES: usize = 1 << 20;

/// One request as a stand-in sees it.
#[derive(Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path.
    pub path: String,
    /// What follows the `?`, or nothing.
    pub query: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Call {
    /// A header's text, empty when absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// What a stand-in answers.
#[derive(Debug)]
pub struct Reply {
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
    body: ReplyBody,
}

impl Reply {
    /// A JSON text.
    #[must_use]
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        let body = Bytes::from(value.to_string());
        Self::bytes(status, "application/json", body)
    }

    /// Any whole body.
    #[must_use]
    pub fn bytes(status: u16, content_type: &str, body: Bytes) -> Self {
        Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers: vec![("content-type", content_type.to_owned())],
            body: ReplyBody::Whole(Some(body)),
        }
    }

    /// A body that is sent piece by piece, each at once.
    #[must_use]
    pub fn stream(content_type: &str, pieces: mpsc::UnboundedReceiver<Piece>) -> Self {
        Self {
            status: StatusCode::OK,
            headers: vec![("content-type", content_type.to_owned())],
            body: ReplyBody::Pieces(pieces),
        }
    }

    /// Adds a header.
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

/// The connection is to be broken without a proper end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in broke the connection on purpose")
    }
}

impl std::error::Error for Broken {}

/// From the last piece sent to the break, so that the piece is on its way before.
const BREAK_DELAY: Duration = Duration::from_millis(5);

/// Breaks a streamed reply once what was sent so far is out. Needs the server's runtime.
pub fn break_soon(pieces: mpsc::UnboundedSender<Piece>) {
    tokio::spawn(async move {
        tokio::time::sleep(BREAK_DELAY).await;
        // A client that left needs no break.
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

/// What a stand-in does with requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; nothing closes the connection without an answer.
    /// Dropped when the client goes first.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = Option<Reply>> + Send;

    /// Runs beside the requests until the stand-in stops.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// A running server; stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<Infallible>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens and serves on a thread of its own.
    ///
    /// # Errors
    /// When the address can't be bound or the thread can't be made.
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops at once: open connections break.
    pub fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
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
    socket.listen(BACKLOG)?;
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
        // An error here is a client that left or a lack of descriptors: the next may do.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
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
    // It ends with an error whenever a client leaves or a fault breaks it.
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
