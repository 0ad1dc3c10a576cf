//! One send of a request to one upstream.

use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::{Advertised, Choice, Ending, UpstreamIndex, Use};
use http1::write::push_length;
use http1::{
    BodyReader, Framing, Head, Kind, Wire, WireOptions, connect, read_response_head, read_whole,
};
use routes::Upstream;
use types::prelude::*;

use crate::answer::Whole;
use crate::attempt_guard::Tracked;
use crate::exchange::Request;
use crate::relay::{LOOK, given_up};
use crate::shared::World;
use crate::translate::{Forwarding, Reply, Standing, Translator};

/// An upstream that lives accepts within some ms; one behind a cut never answers.
const CONNECT_WITHIN: Span = Span::from_millis(300);
/// Longest head of an upstream.
const MAX_HEAD: usize = 16 * 1024;
/// Longest whole answer of an upstream.
const MAX_WHOLE: usize = 8 * 1024 * 1024;
/// Answers to others' requests that are read away before one connection is given up.
const MAX_STRAYS: u32 = 4;
/// Part of the objective after which a silent plain service is left for another.
const SILENT_SHARE: f64 = 0.7;
/// Rank that upstreams take for ordinary.
const ORDINARY_RANK: u8 = 5;
/// Connections to upstreams that are silent this long while bytes are out are dead.
const WIRE: WireOptions = WireOptions {
    user_timeout: Duration::from_millis(1_500),
    keepalive: Duration::from_secs(1),
};

/// What a send came to.
pub(crate) enum Sent<T> {
    /// Nothing arrived at the upstream.
    Unreachable,
    /// The upstream did not and will not run it.
    NotRun(&'static str),
    /// It may have run.
    Unclear(&'static str),
    /// The upstream's own failure.
    Failed(Whole),
    /// A whole good answer.
    Whole(Whole),
    /// A stream begins.
    Stream(Box<Stream<T>>),
}

/// An answer's head.
struct Got {
    head: Head,
    reply: Reply,
    framing: Framing,
}

/// Why no head came.
enum Failure {
    /// Nothing arrived at the upstream.
    Unreachable,
    /// It was silent for too long.
    Silent,
    /// The connection broke.
    Broken(&'static str),
    /// Its content was barred while it waited.
    Barred,
}

impl Failure {
    /// What it says of the upstream, and of the request.
    fn verdict<T>(self) -> (Ending, Sent<T>) {
        match self {
            Self::Unreachable => (Ending::Unreachable, Sent::Unreachable),
            Self::Silent => (Ending::Silent, Sent::Unclear("silent")),
            Self::Broken(why) => (Ending::Broken, Sent::Unclear(why)),
            Self::Barred => (Ending::Dropped, Sent::Unclear("barred while it waited")),
        }
    }
}

/// A stream that an upstream began.
pub(crate) struct Stream<T> {
    pub(crate) head: Head,
    pub(crate) confidence: Option<u8>,
    pub(crate) wire: Wire,
    pub(crate) reader: BodyReader,
    /// Whether the upstream may be left for another when it is silent.
    pub(crate) may_leave: bool,
    index: UpstreamIndex,
    world: Rc<World<T>>,
    tracked: Tracked<T>,
    model: Option<Arc<str>>,
}

impl<T> Stream<T> {
    /// Notes the first event.
    pub(crate) fn began(&mut self) {
        self.tracked.began(self.model.as_ref());
    }

    /// Notes that something was read.
    pub(crate) fn heard(&self) {
        self.tracked.heard();
    }

    /// Why it is left for another upstream, if it is.
    pub(crate) fn given_up(
        &self,
        request: &Request<T>,
        heard_at: Time,
        has_first: bool,
    ) -> Option<&'static str> {
        let silent = self.world.now().since(heard_at);
        given_up(request, &self.tracked, silent, has_first)
    }

    /// Ends it; the connection is kept after a whole stream.
    pub(crate) fn finish(self, ending: Ending) {
        self.tracked.end(ending);
        if ending == Ending::Good && !self.reader.ends_with_connection() {
            let now = self.world.now();
            let mut pool = self.world.pool.borrow_mut();
            pool.keep(now, self.index, self.wire, &self.head);
        }
    }
}

/// One send of a request to one upstream.
pub(crate) struct Attempt<'a, T> {
    pub(crate) world: &'a Rc<World<T>>,
    pub(crate) request: &'a Request<T>,
    pub(crate) service: &'a Arc<str>,
    pub(crate) model: Option<&'a Arc<str>>,
    pub(crate) resume_after: Option<u64>,
    /// Whether the caller has events of an earlier attempt.
    pub(crate) has_delivered: bool,
    /// Whether an earlier attempt of the request failed.
    pub(crate) has_failed: bool,
    /// Whether a silent upstream may be left for another.
    pub(crate) may_leave: bool,
    /// Whether it sees whether its content's bar still holds.
    pub(crate) is_trial: bool,
}

impl<T: Translator> Attempt<'_, T> {
    /// Sends it and waits for the answer's beginning, or its end unless it is a stream.
    pub(crate) async fn send(&self, choice: Choice) -> Sent<T> {
        let mut tracked = Tracked::start(self.world, &choice, self.request, self.has_failed);
        let Some(spec) = self.world.upstreams.borrow().spec(choice.index).cloned() else {
            return Sent::Unreachable;
        };
        let (wire, got) = match self.exchange(choice.index, &spec, &tracked).await {
            Ok(got) => got,
            Err(failure) => {
                let (ending, sent) = failure.verdict();
                tracked.end(ending);
                return sent;
            }
        };
        tracked.heard();
        self.observe_rate_limit(choice.index, &tracked, &got.reply);
        if let Some((ending, sent)) = self.refusal(choice.index, &got) {
            tracked.end(ending);
            return sent;
        }
        tracked.begins();
        let reader = BodyReader::new(got.framing);
        let is_success = (200..300).contains(&got.head.status());
        if is_success && self.request.route.repeat.is_stream() {
            return Sent::Stream(Box::new(Stream {
                head: got.head,
                confidence: got.reply.confidence,
                wire,
                reader,
                may_leave: false,
                index: choice.index,
                world: Rc::clone(self.world),
                tracked,
                model: self.model.cloned(),
            }));
        }
        tracked.began(self.model);
        self.whole(choice.index, wire, got.head, reader, tracked)
            .await
    }

    /// Sends the request and reads the answer's head, on a kept connection if there is one.
    async fn exchange(
        &self,
        index: UpstreamIndex,
        spec: &Upstream,
        tracked: &Tracked<T>,
    ) -> Result<(Wire, Got), Failure> {
        self.world.metrics.attempts.inc();
        let bytes = self.encode(&spec.id);
        if let Some(wire) = self.kept(index) {
            match self.try_on(&wire, &bytes, tracked).await {
                Ok(got) => return Ok((wire, got)),
                // Guards against an upstream that dropped an idle connection without a word:
                // what is sent next on it is reset, though the upstream is sound.
                Err(Failure::Broken(why)) => {
                    return self.send_anew(index, spec, tracked, why).await;
                }
                Err(failure) => return Err(failure),
            }
        }
        let wire = self.open(index, spec).await?;
        let got = self.try_on(&wire, &bytes, tracked).await?;
        Ok((wire, got))
    }

    /// Sends it on a new connection to an upstream on whose kept one it broke.
    ///
    /// Guards against an upstream that ended under it: it refuses the new connection, and what
    /// was sent on the kept one would count for nothing, neither as a run nor as a repeat, so
    /// that one attempt went on to upstream after upstream.
    async fn send_anew(
        &self,
        index: UpstreamIndex,
        spec: &Upstream,
        tracked: &Tracked<T>,
        why: &'static str,
    ) -> Result<(Wire, Got), Failure> {
        if self.is_barred() || !self.may_send_anew(index) {
            return Err(Failure::Broken(why));
        }
        let Ok(wire) = self.open(index, spec).await else {
            return Err(Failure::Broken(why));
        };
        let got = self.try_on(&wire, &self.encode(&spec.id), tracked).await?;
        Ok((wire, got))
    }

    /// A kept connection, unless the request may not be repeated: whether one that breaks
    /// had already lost its other end cannot be told, and a new one costs a millisecond.
    fn kept(&self, index: UpstreamIndex) -> Option<Wire> {
        if !self.request.route.repeat.is_allowed() {
            return None;
        }
        self.world.pool.borrow_mut().take(self.world.now(), index)
    }

    fn may_send_anew(&self, index: UpstreamIndex) -> bool {
        if !self.request.route.repeat.is_allowed() {
            return false;
        }
        let now = self.world.now();
        let is_open = self.world.upstreams.borrow_mut().take_send(now, index);
        is_open && self.world.take_repeat(self.service, Use::Failure)
    }

    async fn open(&self, index: UpstreamIndex, spec: &Upstream) -> Result<Wire, Failure> {
        self.world.metrics.connects.inc();
        let opening = connect(spec.address, WIRE);
        match tokio::time::timeout(CONNECT_WITHIN.to_duration(), opening).await {
            Ok(Ok(wire)) => Ok(wire),
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                self.world.upstream_refuses(index);
                Err(Failure::Unreachable)
            }
            Ok(Err(_)) | Err(_) => Err(Failure::Unreachable),
        }
    }

    async fn try_on(
        &self,
        wire: &Wire,
        bytes: &[u8],
        tracked: &Tracked<T>,
    ) -> Result<Got, Failure> {
        let written = wire.write_all(bytes).await;
        written.map_err(|_| Failure::Broken("broke while it was sent"))?;
        self.answer_head(wire, tracked).await
    }

    /// Why an answer is none, if it is.
    fn refusal(&self, index: UpstreamIndex, got: &Got) -> Option<(Ending, Sent<T>)> {
        match got.reply.standing {
            Standing::NotRun => {
                if let Some(wait) = got.reply.retry_after {
                    self.world.leave_alone(index, wait);
                }
                return Some((Ending::Refused, Sent::NotRun("refused")));
            }
            Standing::OtherRun => return Some((Ending::Replaced, Sent::NotRun("replaced"))),
            Standing::Ran => {}
        }
        let is_success = (200..300).contains(&got.head.status());
        let is_own = got.reply.is_signed && !got.reply.is_encoded;
        let why = "not the upstream's own answer";
        (is_success && !is_own).then_some((Ending::Broken, Sent::Unclear(why)))
    }

    /// Takes what an answer of this run says of its rate limit; only one that the upstream vouches
    /// for lifts it.
    fn observe_rate_limit(&self, index: UpstreamIndex, tracked: &Tracked<T>, reply: &Reply) {
        let is_of_run = reply.standing != Standing::OtherRun && !reply.is_encoded;
        let says_nothing = reply.rate_limit == Advertised::Nothing;
        if is_of_run && (reply.is_signed || !says_nothing) {
            let world = self.world;
            world.observe_rate_limit(index, tracked.sent_at(), reply.rate_limit);
        }
    }

    fn encode(&self, upstream: &UpstreamId) -> Vec<u8> {
        let Kind::Request { method, target } = &self.request.head.kind else {
            return Vec::new();
        };
        let body = &self.request.body.bytes;
        let mut out = Vec::with_capacity(768 + body.len());
        out.extend_from_slice(method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        let customer = self.request.customer.as_ref();
        let forwarding = Forwarding {
            head: &self.request.head,
            patience: self.world.now().until(self.request.deadline),
            upstream,
            customer: customer.map(|customer| &*customer.name),
            model: self.model.map(|model| &**model),
            resume_after: self.resume_after,
            rank: self.rank(),
        };
        self.world.translator.forward(&forwarding, &mut out);
        let has_length = self.request.head.get("content-length").is_some();
        if !body.is_empty() || has_length || method == "POST" || method == "PUT" {
            push_length(&mut out, body.len());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
        out
    }

    /// A customer's rank goes before the route's; streams under way go before new ones.
    fn rank(&self) -> u8 {
        if !self.world.cfg.policy.timing.ranks {
            return ORDINARY_RANK;
        }
        let customer = self.request.customer.as_ref().and_then(|c| c.rank);
        let rank = customer
            .unwrap_or(self.request.route.rank)
            .min(ORDINARY_RANK - 1);
        if self.has_delivered { 0 } else { rank + 1 }
    }

    /// Reads the head of the answer to this request.
    async fn answer_head(&self, wire: &Wire, tracked: &Tracked<T>) -> Result<Got, Failure> {
        let mut read = std::pin::pin!(self.own_head(wire));
        let mut look = tokio::time::interval(LOOK);
        loop {
            tokio::select! {
                biased;
                done = &mut read => return done,
                _ = look.tick() => {
                    if self.may_leave && self.is_given_up(tracked) {
                        return Err(Failure::Silent);
                    }
                    if self.is_barred() {
                        return Err(Failure::Barred);
                    }
                }
            }
        }
    }

    /// Whether its content was barred while it waits. Guards against requests that reached
    /// upstreams before the word did, and that end one after the other as their turn comes there.
    fn is_barred(&self) -> bool {
        !self.is_trial && self.world.barred_until(self.request.content).is_some()
    }

    /// Whether a silent upstream is left for another.
    fn is_given_up(&self, tracked: &Tracked<T>) -> bool {
        let route = &self.request.route;
        let silent = tracked.silent_for();
        if !route.repeat.is_stream() {
            let objective = route.objective.as_secs_f64();
            let share = Span::from_secs_f64(objective * SILENT_SHARE);
            return silent > share.max(tracked.expected_within());
        }
        given_up(self.request, tracked, silent, false).is_some()
    }

    /// Skips answers to other requests.
    ///
    /// Guards against an answer that arrives late or twice on a kept connection: without
    /// the comparison of ids the caller would get another one's answer.
    async fn own_head(&self, wire: &Wire) -> Result<Got, Failure> {
        for _ in 0..MAX_STRAYS {
            let read = read_response_head(wire, MAX_HEAD).await;
            let broken = |_| Failure::Broken("broke before its answer");
            let (head, framing) = read.map_err(broken)?;
            if (100..200).contains(&head.status()) {
                continue;
            }
            let reply = self.world.translator.reply(&head);
            let is_own = match &reply.attempt {
                Some(id) => **id == *self.request.ask.attempt,
                // Refusals may come without an id; a success never does.
                None => !(200..300).contains(&head.status()),
            };
            if is_own {
                return Ok(Got {
                    head,
                    reply,
                    framing,
                });
            }
            read_away(wire, framing).await?;
        }
        Err(Failure::Broken("broke before its answer"))
    }

    async fn whole(
        &self,
        index: UpstreamIndex,
        wire: Wire,
        head: Head,
        mut reader: BodyReader,
        tracked: Tracked<T>,
    ) -> Sent<T> {
        let Ok(body) = read_whole(&wire, &mut reader, MAX_WHOLE).await else {
            tracked.end(Ending::Broken);
            return Sent::Unclear("broke within its answer");
        };
        let is_success = head.status() < 500;
        tracked.end(if is_success {
            Ending::Good
        } else {
            Ending::Failed
        });
        if !reader.ends_with_connection() {
            let mut pool = self.world.pool.borrow_mut();
            pool.keep(self.world.now(), index, wire, &head);
        }
        let whole = Whole {
            head,
            body: body.freeze(),
        };
        match is_success {
            true => Sent::Whole(whole),
            false => Sent::Failed(whole),
        }
    }
}

async fn read_away(wire: &Wire, framing: Framing) -> Result<(), Failure> {
    let mut reader = BodyReader::new(framing);
    let read = read_whole(wire, &mut reader, MAX_WHOLE).await;
    let read = read.map(drop);
    read.map_err(|_| Failure::Broken("broke within another's answer"))
}
