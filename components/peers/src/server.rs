//! Incoming connections from other daemons.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures::{StreamExt, pin_mut};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::counted::frames;
use crate::handle::{Inbound, Reply, Shared};
use crate::payload::{Part, Payload};
use crate::seal::{Challenge, Endpoints, Purpose, Refusal, ReplayWindow, Sealed};
use crate::service::{Handshake, Peer, PeerResponse};

/// Maximum number of incoming connections; further ones are closed at once.
const MAX_CONNECTIONS: u64 = 1_024;
/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Timeout of a new connection's first authenticated message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// An incoming connection without an authenticated message for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of one connection.
#[derive(Debug)]
struct ConnectionState {
    challenge: Challenge,
    endpoints: Option<Endpoints>,
    window: ReplayWindow,
    expires_at: Instant,
}

/// RPC handler of one connection.
#[derive(Clone)]
struct Server {
    shared: Arc<Shared>,
    state: Arc<Mutex<ConnectionState>>,
}

/// Accepts connections until the runtime stops.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => admit(stream, from, &shared),
            Err(e) => {
                tracing::warn!("peers: cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection on a task of its own, so that a panic there affects no other connection.
fn admit(stream: TcpStream, from: SocketAddr, shared: &Arc<Shared>) {
    if shared.counts.connections_in.get() >= MAX_CONNECTIONS {
        shared.counts.connections_refused.add(1);
        return;
    }
    shared.counts.connections_in.add(1);
    let open = OpenConnection(Arc::clone(shared));
    tokio::spawn(async move {
        serve(stream, from, &open.0).await;
        drop(open);
    });
}

/// Counts a connection while it is open, even if its task panics.
struct OpenConnection(Arc<Shared>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.counts.connections_in.decrement();
    }
}

async fn serve(stream: TcpStream, from: SocketAddr, shared: &Arc<Shared>) {
    let state = ConnectionState {
        challenge: rand::random(),
        endpoints: None,
        window: ReplayWindow::default(),
        expires_at: Instant::now() + FIRST_MESSAGE_TIMEOUT,
    };
    let server = Server {
        shared: Arc::clone(shared),
        state: Arc::new(Mutex::new(state)),
    };
    tokio::select! {
        () = run(stream, from, server.clone()) => {}
        () = server.expired() => {}
    }
}

/// Handles the calls of a connection until it ends.
async fn run(stream: TcpStream, from: SocketAddr, server: Server) {
    let counts = Arc::clone(&server.shared.counts);
    let transport = frames::<_, tarpc::Response<PeerResponse>>(stream, Arc::clone(&counts));
    let channel = BaseChannel::with_defaults(transport);
    let requests = channel
        .max_concurrent_requests(MAX_CONCURRENT_CALLS)
        .requests();
    pin_mut!(requests);
    while let Some(request) = requests.next().await {
        match request {
            Ok(request) => {
                let serve = server.clone().serve();
                tokio::spawn(request.execute(serve));
            }
            Err(e) => {
                counts.bad_frames.add(1);
                tracing::warn!("peers: connection from {from} broken: {e}");
                return;
            }
        }
    }
}

impl Server {
    fn state(&self) -> std::sync::MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the connection expires; each authenticated message extends its lifetime.
    async fn expired(&self) {
        loop {
            let expires_at = self.state().expires_at;
            if Instant::now() >= expires_at {
                return;
            }
            sleep_until(expires_at).await;
        }
    }

    fn accept_handshake(&self, greeting: &Handshake) -> Result<Challenge, Refusal> {
        if greeting.cluster != self.shared.cluster {
            return Err(Refusal::Cluster);
        }
        if greeting.to != self.shared.address {
            return Err(Refusal::Address);
        }
        let mut state = self.state();
        if state.endpoints.is_some() {
            return Err(Refusal::Handshake);
        }
        state.endpoints = Some(Endpoints {
            cluster: greeting.cluster.clone(),
            from: greeting.sender(),
            to: greeting.to,
            challenge: state.challenge,
        });
        Ok(state.challenge)
    }

    /// Verifies a message's authentication tag and sequence number, then decodes it.
    fn open(&self, purpose: Purpose, sealed: &Sealed) -> Result<(Endpoints, Payload), Refusal> {
        let keys = self.shared.keys();
        let endpoints = self.state().endpoints.clone().ok_or(Refusal::Handshake)?;
        endpoints.open(&keys, purpose, sealed)?;
        let mut state = self.state();
        state.window.accept(sealed.number)?;
        state.expires_at = Instant::now() + IDLE_TIMEOUT;
        drop(state);
        let payload = Payload::decode(&sealed.body).map_err(|_| Refusal::Malformed)?;
        Ok((endpoints, payload))
    }

    fn accept_message(&self, sealed: &Sealed) -> Result<(), Refusal> {
        let (endpoints, payload) = self.open(Purpose::Deliver, sealed)?;
        let from = endpoints.from;
        self.forward(Inbound::Message { from, payload })
    }

    fn forward(&self, inbound: Inbound) -> Result<(), Refusal> {
        if !(self.shared.sink)(inbound) {
            return Err(Refusal::Overloaded);
        }
        self.shared.counts.received.add(1);
        Ok(())
    }

    async fn answer(&self, cx: &Context, sealed: &Sealed) -> Result<Sealed, Refusal> {
        let (endpoints, payload) = self.open(Purpose::Ask, sealed)?;
        let answer = match payload {
            Payload::Part {
                part: Part::Clock, ..
            } => self.read_clock()?,
            payload => self.query_sink(cx, &endpoints, payload).await?,
        };
        let body = answer.encode().map_err(|_| Refusal::Malformed)?;
        let keys = self.shared.keys();
        Ok(endpoints.seal(&keys, Purpose::Reply, sealed.number, body))
    }

    fn read_clock(&self) -> Result<Payload, Refusal> {
        let body = self.shared.reading().encode();
        let body = body.map_err(|_| Refusal::Malformed)?;
        let part = Part::Clock;
        Ok(Payload::Part { part, body })
    }

    async fn query_sink(
        &self,
        cx: &Context,
        endpoints: &Endpoints,
        payload: Payload,
    ) -> Result<Payload, Refusal> {
        let (tx, rx) = oneshot::channel();
        self.forward(Inbound::Ask {
            from: endpoints.from.clone(),
            payload,
            reply: Reply(tx),
        })?;
        let deadline = Instant::from_std(cx.deadline);
        let answer = timeout_at(deadline, rx).await;
        let answer = answer.ok().and_then(Result::ok);
        answer.ok_or(Refusal::Overloaded)
    }

    /// Counts and logs a refusal.
    fn record_refusal<T>(&self, call: &str, result: Result<T, Refusal>) -> Result<T, Refusal> {
        if let Err(refusal) = &result {
            self.shared.counts.refuse(*refusal);
            tracing::debug!("peers: {call} refused: {refusal}");
        }
        result
    }
}

impl Peer for Server {
    async fn greet(self, _: Context, greeting: Handshake) -> Result<Challenge, Refusal> {
        let result = self.accept_handshake(&greeting);
        self.record_refusal("greeting", result)
    }

    async fn deliver(self, _: Context, sealed: Sealed) -> Result<(), Refusal> {
        let result = self.accept_message(&sealed);
        self.record_refusal("message", result)
    }

    async fn ask(self, cx: Context, sealed: Sealed) -> Result<Sealed, Refusal> {
        let result = self.answer(&cx, &sealed).await;
        self.record_refusal("question", result)
    }
}
