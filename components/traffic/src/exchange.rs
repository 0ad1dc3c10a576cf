//! One request from its first attempt to its end.

use std::rc::Rc;
use std::sync::Arc;

use dispatch::{
    Cascade, Choice, Draft, Ending, Gate, Load, Need, NoUpstream, Permit, UpstreamIndex, Use,
};
use http1::{Head, Wire};
use routes::{Customer, Route, RouteTable};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{Own, Whole, spread};
use crate::attempt::{Attempt, Sent};
use crate::caller::refusal;
use crate::metrics::Outcome;
use crate::relay::{Relay, RelayEnd};
use crate::report::{Finish, Report};
use crate::request::Body;
use crate::translate::{Ask, Translator};
use crate::world::{Stage, World};

/// Callers return at least this much later when no upstream could take their request: one
/// that was full has finished something by then.
const BUSY_RETRY: Span = Span::from_millis(150);
/// Sends of one request beyond the runs that its route allows: refusals cost little, but
/// each is a repeat for the service.
const EXTRA_SENDS: u32 = 2;
/// Upstreams that one request finds unreachable before it is given up: a failure domain
/// that goes takes a fourth of them at once.
const MAX_UNREACHABLE: u32 = 8;

/// A request that was read whole and belongs on a route.
pub(crate) struct Request<T> {
    pub(crate) head: Head,
    pub(crate) ask: Ask,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) body: Body<T>,
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
    pub(crate) keeps_alive: bool,
}

/// How an attempt leaves the request.
enum Next {
    Finished(Finish),
    /// Not run, or may be repeated: go on with another upstream.
    Again(Use),
    /// Nothing arrived: go on with another upstream; no repeat for the service.
    Elsewhere,
    /// The outcome is unknown and it must not be repeated.
    Stuck(&'static str),
}

/// One request on its way.
pub(crate) struct Exchange<'a, T> {
    world: &'a Rc<World<T>>,
    wire: &'a Wire,
    request: &'a Request<T>,
    service: Arc<str>,
    place: u64,
    tried: Vec<UpstreamIndex>,
    /// What the last upstream was chosen by.
    chosen_by: Load,
    /// The upstream that has the request now.
    pending: Option<UpstreamIndex>,
    sends: u32,
    /// Attempts that reached no upstream.
    unreachable: u32,
    /// Attempts that may have run.
    runs: u32,
    /// Whether one of them failed.
    has_failed: bool,
    /// Place of the model asked, where this system chooses.
    model: Option<usize>,
    /// The stream's version, once an event of it was delivered.
    version: Option<Arc<str>>,
    relay: Relay,
    /// The last failure that an upstream told itself, in case nothing better comes.
    failure: Option<Whole>,
    report: Report,
}

impl<'a, T: Translator> Exchange<'a, T> {
    pub(crate) fn new(world: &'a Rc<World<T>>, wire: &'a Wire, request: &'a Request<T>) -> Self {
        let place = request
            .ask
            .session
            .unwrap_or_else(|| xxh3_64(request.ask.attempt.as_bytes()));
        let service = Arc::clone(request.route.target(place));
        let is_chosen_here = request.ask.model.is_none();
        let models = if is_chosen_here {
            request.route.models.len()
        } else {
            0
        };
        let report = Report::of(service.clone());
        Self {
            world,
            wire,
            request,
            service,
            place,
            tried: Vec::new(),
            chosen_by: Load::default(),
            pending: None,
            sends: 0,
            unreachable: 0,
            runs: 0,
            has_failed: false,
            model: Cascade::first(models),
            version: None,
            relay: Relay::new(request.ask.resume_after),
            failure: None,
            report,
        }
    }

    pub(crate) fn report(&self) -> Report {
        let mut report = self.report.clone();
        report.events = self.relay.delivered();
        if let Some(index) = self.pending {
            report.add(self.describe(index, "still out"));
        }
        report
    }

    /// Runs it to its end.
    pub(crate) async fn run(&mut self) -> Finish {
        self.world.requested(&self.service);
        let deadline = self.world.instant(self.request.deadline);
        match tokio::time::timeout_at(deadline, self.attempts()).await {
            Ok(finish) => finish,
            Err(_) if self.relay.has_begun() => Finish::cut("out of time"),
            Err(_) => self.own(Own::Timeout, "out of time").await,
        }
    }

    async fn attempts(&mut self) -> Finish {
        loop {
            let next = self.attempt().await;
            let may_go_on = match next {
                Next::Finished(finish) => return finish,
                Next::Stuck(why) => return self.give_up(why).await,
                Next::Again(what) => self.may_send_again(what),
                Next::Elsewhere => self.unreachable < MAX_UNREACHABLE,
            };
            if !may_go_on {
                return self.give_up("no repeat is left").await;
            }
        }
    }

    fn may_send_again(&self, what: Use) -> bool {
        let max_runs = self.request.route.max_runs;
        let has_room = self.runs < max_runs && self.sends < max_runs + EXTRA_SENDS;
        // Asking a larger model was paid for when the smaller one's answer was dropped.
        has_room && (what == Use::LargerModel || self.world.take_repeat(&self.service, what))
    }

    /// The last word: what is true of everything that was tried.
    async fn give_up(&mut self, why: &'static str) -> Finish {
        if self.relay.has_begun() {
            return Finish::cut(why);
        }
        if let Some(failure) = self.failure.take() {
            return self.pass_on(failure, Outcome::UpstreamFailure).await;
        }
        if self.runs > 0 {
            return self.own(Own::Unclear, why).await;
        }
        let retry_after = spread(BUSY_RETRY, &mut *self.world.rng.borrow_mut());
        self.own(Own::NotRun { retry_after }, why).await
    }

    /// Chooses an upstream for a model.
    fn choose(
        &self,
        model: Option<&Arc<str>>,
        tried: &[UpstreamIndex],
    ) -> Result<Choice, NoUpstream> {
        let permit = self.permit();
        let prompt = self.request.ask.prompt.as_ref();
        let need = Need {
            service: &self.service,
            model,
            parts: prompt.map_or(&[], |prompt| &prompt.parts),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens),
            permit: &permit,
            exclude: tried,
            near: &self.world.cfg.failure_domain,
        };
        let now = self.world.now();
        let upstreams = self.world.upstreams.borrow();
        upstreams.choose(now, &need, &mut *self.world.rng.borrow_mut())
    }

    /// When a model's first event can be expected, from now.
    fn expected_of(&self, model: usize) -> Option<Span> {
        let model = self.request.route.models.get(model)?;
        let choice = self.choose(Some(model), &[]).ok()?;
        let ms = choice.load.wait_ms + choice.load.expected_ms;
        Some(Span::from_secs_f64(ms / 1_000.0))
    }

    async fn attempt(&mut self) -> Next {
        let model = self.model_name().cloned();
        let choice = match self.choose(model.as_ref(), &self.tried) {
            Ok(choice) => choice,
            Err(no) => return Next::Stuck(refusal(no)),
        };
        self.tried.push(choice.index);
        self.pending = Some(choice.index);
        self.chosen_by = choice.load;
        self.sends += 1;
        let attempt = Attempt {
            world: self.world,
            request: self.request,
            service: &self.service,
            model: model.as_ref(),
            resume_after: self.relay.last_event(),
            has_delivered: self.relay.has_begun(),
            has_failed: self.has_failed,
            may_leave: self.may_leave(),
        };
        let sent = attempt.send(choice).await;
        self.take_sent(sent).await
    }

    /// Whether a silent upstream may be left for another: only while a run stays for an
    /// upstream that breaks.
    fn may_leave(&self) -> bool {
        let is_allowed = self.request.route.repeat.is_allowed();
        let is_allowed = is_allowed && self.world.cfg.policy.timing.leaves_silent;
        is_allowed && self.runs + 1 < self.request.route.max_runs
    }

    /// Versions that it may run on now.
    fn permit(&self) -> Permit {
        let now = self.world.now();
        if let Some(version) = &self.version {
            return Permit::Only(version.clone());
        }
        let plan = self.world.plan();
        let Some(gate) = plan.gate(&self.service) else {
            return Permit::Any;
        };
        if gate.notes(self.place) {
            self.world.seen.stay(gate.order, [Gate::mark(self.place)]);
        }
        let pins = self.world.pins.borrow();
        let session = self.request.ask.session;
        let pinned = session.and_then(|session| pins.get(now, session));
        gate.permit(self.place, pinned)
    }

    fn model_name(&self) -> Option<&Arc<str>> {
        match self.model {
            Some(place) => self.request.route.models.get(place),
            None => self.request.ask.model.as_ref(),
        }
    }

    /// Adds an attempt that is over to the log line.
    fn note(&mut self, index: UpstreamIndex, what: &str) {
        self.pending = None;
        let tried = self.describe(index, what);
        self.report.add(tried);
    }

    /// An attempt in a few words: what it was chosen by, and what came of it.
    fn describe(&self, index: UpstreamIndex, what: &str) -> String {
        let upstreams = self.world.upstreams.borrow();
        let spec = upstreams.spec(index);
        let id = spec.map_or("?", |spec| spec.id.as_str());
        let version = spec.map_or("?", |spec| &*spec.version);
        let model = self
            .model
            .map_or(String::new(), |model| format!(" model {model}"));
        let ms = self.world.now().since(self.request.arrived_at).as_millis();
        let wait = self.chosen_by.wait_ms.round();
        let work = self.chosen_by.expected_ms.round();
        format!("{id} {version}{model} (wait {wait} work {work}): {what} at {ms}ms")
    }

    async fn take_sent(&mut self, sent: Sent<T>) -> Next {
        let index = self.tried[self.tried.len() - 1];
        match sent {
            Sent::Unreachable => {
                self.note(index, "unreachable");
                self.sends -= 1;
                self.unreachable += 1;
                Next::Elsewhere
            }
            Sent::NotRun(what) => {
                self.note(index, what);
                Next::Again(Use::Failure)
            }
            Sent::Unclear(what) => {
                self.note(index, what);
                self.runs += 1;
                self.repeat_or_stop(what)
            }
            Sent::Failed(whole) => {
                self.note(index, "failed");
                self.runs += 1;
                self.failure = Some(whole);
                self.repeat_or_stop("the upstream failed")
            }
            Sent::Whole(whole) => {
                self.note(index, "answered");
                self.runs += 1;
                Next::Finished(self.pass_on(whole, Outcome::Answered).await)
            }
            Sent::Stream(stream) => {
                self.runs += 1;
                if let Some(larger) = self.larger_model(stream.confidence) {
                    let sure = stream.confidence.unwrap_or_default();
                    self.note(index, &format!("dropped as unsure ({sure})"));
                    self.model = Some(larger);
                    self.tried.clear();
                    return Next::Again(Use::LargerModel);
                }
                self.relay_stream(index, *stream).await
            }
        }
    }

    fn repeat_or_stop(&mut self, why: &'static str) -> Next {
        self.has_failed = true;
        match self.request.route.repeat.is_allowed() {
            true => Next::Again(Use::Failure),
            false => Next::Stuck(why),
        }
    }

    fn larger_model(&self, confidence: Option<u8>) -> Option<usize> {
        if self.relay.has_begun() || self.runs >= self.request.route.max_runs {
            return None;
        }
        let draft = Draft {
            asked: self.model?,
            confidence: confidence?,
            arrived_at: self.request.arrived_at,
            objective: self.request.route.objective,
        };
        let models = self.request.route.models.len();
        let now = self.world.now();
        let expected = |place| self.expected_of(place);
        let cascade = Cascade::new(self.world.cfg.policy.cascade);
        let larger = cascade.next(now, models, draft, expected)?;
        let is_paid = self.world.take_repeat(&self.service, Use::LargerModel);
        is_paid.then_some(larger)
    }

    async fn relay_stream(
        &mut self,
        index: UpstreamIndex,
        mut stream: crate::attempt::Stream<T>,
    ) -> Next {
        let idle = self.world.cfg.session_idle;
        self.pin(index, self.request.deadline + idle);
        let keeps_alive = self.keeps_alive();
        let leaves_silent = self.world.cfg.policy.timing.leaves_silent;
        let is_allowed = self.request.route.repeat.is_allowed();
        stream.may_leave = leaves_silent && is_allowed && self.runs < self.request.route.max_runs;
        let end = self
            .relay
            .run(
                self.world,
                self.wire,
                self.request,
                &mut stream,
                keeps_alive,
            )
            .await;
        self.pin(index, self.world.now() + idle);
        self.report.first_byte_at = self.relay.first_at();
        match end {
            RelayEnd::Complete => {
                let what = stream.confidence.map(|sure| format!("streamed ({sure})"));
                self.note(index, what.as_deref().unwrap_or("streamed"));
                stream.finish(Ending::Good);
                Next::Finished(Finish {
                    outcome: Outcome::Answered,
                    status: 200,
                    why: "",
                    keeps_alive,
                })
            }
            RelayEnd::CallerGone => {
                self.note(index, "caller gone");
                Next::Finished(Finish::gone())
            }
            RelayEnd::Broken(why, ending) => {
                self.note(index, why);
                stream.finish(ending);
                if self.relay.has_begun() && self.version.is_none() {
                    let upstreams = self.world.upstreams.borrow();
                    self.version = upstreams.spec(index).map(|spec| spec.version.clone());
                }
                self.repeat_or_stop(why)
            }
        }
    }

    /// Remembers the version that a session is on.
    fn pin(&self, index: UpstreamIndex, used_until: Time) {
        let Some(session) = self.request.ask.session else {
            return;
        };
        let now = self.world.now();
        let upstreams = self.world.upstreams.borrow();
        if let Some(spec) = upstreams.spec(index) {
            let mut pins = self.world.pins.borrow_mut();
            pins.set(now, session, &spec.version, used_until);
        }
    }

    fn keeps_alive(&self) -> bool {
        self.request.keeps_alive && self.world.stage() < Stage::Leaving
    }

    async fn pass_on(&mut self, whole: Whole, outcome: Outcome) -> Finish {
        let keeps_alive = self.keeps_alive();
        self.report.first_byte_at = Some(self.world.now());
        let bytes = whole.encode(keeps_alive);
        if self.wire.write_all(&bytes).await.is_err() {
            return Finish::gone();
        }
        Finish {
            outcome,
            status: whole.head.status(),
            why: "",
            keeps_alive,
        }
    }

    async fn own(&mut self, own: Own, why: &'static str) -> Finish {
        let keeps_alive = self.keeps_alive() && !own.ends_connection();
        let outcome = match own {
            Own::NotRun { .. } => Outcome::Refused,
            Own::Timeout => Outcome::Timeout,
            Own::Unclear => Outcome::Unclear,
            _ => Outcome::Rejected,
        };
        if self.wire.write_all(&own.encode(keeps_alive)).await.is_err() {
            return Finish::gone();
        }
        Finish {
            outcome,
            status: own.status(),
            why,
            keeps_alive,
        }
    }
}
