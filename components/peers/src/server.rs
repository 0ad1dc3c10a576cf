//! Connections from other daemons.

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
use crate::seal::{Challenge, Ends, Refusal, Sealed, Use, Window};
use crate::service::{Greeting, Peer, PeerResponse};

/// Connections from peers at once. Beyond it new ones are closed.
const MAX_CONNECTIONS: u64 = 1_024;
/// Calls of one connection at once.
const MAX_CALLS: usize = 16;
/// A new connection has so long to bring its first message with a right code.
const FIRST_MESSAGE: Duration = Duration::from_secs(5);
/// A connection without a right message for so long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Pause after a failure to accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What is known of one connection.
#[derive(Debug)]
struct Session {
    challenge: Challenge,
    ends: Option<Ends>,
    window: Window,
    ends_at: Instant,
}

/// The calls of one connection.
#[derive(Clone)]
struct Server {
    shared: Arc<Shared>,
    session: Arc<Mutex<Session>>,
}

/// Takes connections until the runtime ends.
pub(crate) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => admit(stream, from, &shared),
            Err(e) => {
                tracing::warn!("peers: cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a connection on a task of its own, so that whatever a peer sends ends no other.
fn admit(stream: TcpStream, from: SocketAddr, shared: &Arc<Shared>) {
    if shared.counts.connections_in.get() >= MAX_CONNECTIONS {
        shared.counts.connections_refused.add(1);
        return;
    }
    shared.counts.connections_in.add(1);
    let open = Open(Arc::clone(shared));
    tokio::spawn(async move {
        serve(stream, from, &open.0).await;
        drop(open);
    });
}

/// Counts a connection for as long as it is open, also when its task panics.
struct Open(Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.counts.connections_in.less();
    }
}

async fn serve(stream: TcpStream, from: SocketAddr, shared: &Arc<Shared>) {
    let session = Session {
        challenge: rand::random(),
        ends: None,
        window: Window::default(),
        ends_at: Instant::now() + FIRST_MESSAGE,
    };
    let server = Server {
        shared: Arc::clone(shared),
        session: Arc::new(Mutex::new(session)),
    };
    tokio::select! {
        () = run(stream, from, server.clone()) => {}
        () = server.expired() => {}
    }
}

/// Runs the calls of a connection until it ends.
async fn run(stream: TcpStream, from: SocketAddr, server: Server) {
    let counts = Arc::clone(&server.shared.counts);
    let transport = frames::<_, tarpc::Response<PeerResponse>>(stream, Arc::clone(&counts));
    let channel = BaseChannel::with_defaults(transport);
    let requests = channel.max_concurrent_requests(MAX_CALLS).requests();
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
    fn session(&self) -> std::sync::MutexGuard<'_, Session> {
        self.session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the connection's time is up; each right message gives it more.
    async fn expired(&self) {
        loop {
            let ends_at = self.session().ends_at;
            if Instant::now() >= ends_at {
                return;
            }
            sleep_until(ends_at).await;
        }
    }

    fn check_greeting(&self, greeting: &Greeting) -> Result<Challenge, Refusal> {
        if greeting.cluster != self.shared.cluster {
            return Err(Refusal::Cluster);
        }
        if greeting.to != self.shared.address {
            return Err(Refusal::Address);
        }
        let mut session = self.session();
        if session.ends.is_some() {
            return Err(Refusal::Greeting);
        }
        session.ends = Some(Ends {
            cluster: greeting.cluster.clone(),
            from: greeting.sender(),
            to: greeting.to,
            challenge: session.challenge,
        });
        Ok(session.challenge)
    }

    /// Checks a message's code and number, then reads it.
    fn open(&self, what: Use, sealed: &Sealed) -> Result<(Ends, Payload), Refusal> {
        let keys = self.shared.keys();
        let ends = self.session().ends.clone().ok_or(Refusal::Greeting)?;
        ends.open(&keys, what, sealed)?;
        let mut session = self.session();
        session.window.take(sealed.number)?;
        session.ends_at = Instant::now() + IDLE;
        drop(session);
        let payload = Payload::decode(&sealed.body).map_err(|_| Refusal::Malformed)?;
        Ok((ends, payload))
    }

    fn take(&self, sealed: &Sealed) -> Result<(), Refusal> {
        let (ends, payload) = self.open(Use::Deliver, sealed)?;
        let from = ends.from;
        self.hand_over(Inbound::Message { from, payload })
    }

    fn hand_over(&self, inbound: Inbound) -> Result<(), Refusal> {
        if !(self.shared.sink)(inbound) {
            return Err(Refusal::Overloaded);
        }
        self.shared.counts.received.add(1);
        Ok(())
    }

    async fn answer(&self, cx: &Context, sealed: &Sealed) -> Result<Sealed, Refusal> {
        let (ends, payload) = self.open(Use::Ask, sealed)?;
        let answer = match payload {
            Payload::Part {
                part: Part::Clock, ..
            } => self.read_clock()?,
            payload => self.ask_sink(cx, &ends, payload).await?,
        };
        let body = answer.encode().map_err(|_| Refusal::Malformed)?;
        let keys = self.shared.keys();
        Ok(ends.seal(&keys, Use::Reply, sealed.number, body))
    }

    fn read_clock(&self) -> Result<Payload, Refusal> {
        let body = self.shared.reading().encode();
        let body = body.map_err(|_| Refusal::Malformed)?;
        let part = Part::Clock;
        Ok(Payload::Part { part, body })
    }

    async fn ask_sink(
        &self,
        cx: &Context,
        ends: &Ends,
        payload: Payload,
    ) -> Result<Payload, Refusal> {
        let (tx, rx) = oneshot::channel();
        self.hand_over(Inbound::Ask {
            from: ends.from.clone(),
            payload,
            reply: Reply(tx),
        })?;
        let deadline = Instant::from_std(cx.deadline);
        let answer = timeout_at(deadline, rx).await;
        let answer = answer.ok().and_then(Result::ok);
        answer.ok_or(Refusal::Overloaded)
    }

    /// Counts and logs what was refused.
    fn note<T>(&self, call: &str, result: Result<T, Refusal>) -> Result<T, Refusal> {
        if let Err(refusal) = &result {
            self.shared.counts.refuse(*refusal);
            tracing::debug!("peers: {call} refused: {refusal}");
        }
        result
    }
}

impl Peer for Server {
    async fn greet(self, _: Context, greeting: Greeting) -> Result<Challenge, Refusal> {
        let result = self.check_greeting(&greeting);
        self.note("greeting", result)
    }

    async fn deliver(self, _: Context, sealed: Sealed) -> Result<(), Refusal> {
        let result = self.take(&sealed);
        self.note("message", result)
    }

    async fn ask(self, cx: Context, sealed: Sealed) -> Result<Sealed, Refusal> {
        let result = self.answer(&cx, &sealed).await;
        self.note("question", result)
    }
}
