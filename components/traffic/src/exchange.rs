//! One request from its first attempt to its end.

mod choose;
mod log;

use std::rc::Rc;
use std::sync::Arc;

use dispatch::{Cascade, Ending, Load, NoUpstream, UpstreamIndex, Use};
use http1::{Head, Wire};
use poison::Content;
use routes::{Customer, Route, RouteTable};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{Own, Whole, spread};
use crate::attempt::{Attempt, Sent};
use crate::metrics::Outcome;
use crate::relay::{Relay, RelayEnd};
use crate::report::{Finish, Report};
use crate::request::Body;
use crate::shared::{Stage, World};
use crate::translate::{Ask, Translator};

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
    pub(crate) content: Content,
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
    /// No upstream may be sent it.
    Nowhere(NoUpstream),
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
    /// Whether it is sent once, to see whether its content's bar still holds.
    is_trial: bool,
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
            is_trial: false,
            model: Cascade::first(models),
            version: None,
            relay: Relay::new(request.ask.resume_after),
            failure: None,
            report,
        }
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
            if self.is_suspect() {
                self.world.settle().await;
            }
            if let Some(until) = self.barred_until() {
                return self.refuse_barred(until).await;
            }
            let next = self.attempt().await;
            let may_go_on = match next {
                Next::Finished(finish) => return finish,
                Next::Stuck(why) => return self.give_up(why).await,
                Next::Nowhere(no) => return self.refuse(no).await,
                // What is barred meanwhile takes no repeat.
                Next::Again(what) => self.is_barred() || self.may_send_again(what),
                Next::Elsewhere => self.unreachable < MAX_UNREACHABLE,
            };
            if !may_go_on {
                return self.give_up("no repeat is left").await;
            }
        }
    }

    /// Gives up a request that no upstream may be sent; says when one may.
    async fn refuse(&mut self, no: NoUpstream) -> Finish {
        let now = self.world.now();
        let wait = match no {
            NoUpstream::Limited { until } => {
                self.world.metrics.limited_requests.inc();
                now.until(until)
            }
            NoUpstream::Unknown | NoUpstream::Tried => Span::ZERO,
        };
        self.give_up_for(no.reason(), wait).await
    }

    async fn give_up(&mut self, why: &'static str) -> Finish {
        self.give_up_for(why, Span::ZERO).await
    }

    /// The last word: what is true of everything that was tried. It is not worth coming back before
    /// `wait` is over.
    async fn give_up_for(&mut self, why: &'static str, wait: Span) -> Finish {
        if self.relay.has_begun() {
            return Finish::cut(why);
        }
        if let Some(failure) = self.failure.take() {
            return self.pass_on(failure, Outcome::UpstreamFailure).await;
        }
        if self.runs > 0 {
            return self.own(Own::Unclear, why).await;
        }
        let retry_after = spread(wait.max(BUSY_RETRY), &mut *self.world.rng.borrow_mut());
        self.own(Own::NotRun { retry_after }, why).await
    }

    /// Ends a request whose content is barred, at once: no upstream is to run it.
    async fn refuse_barred(&mut self, until: Time) -> Finish {
        let why = "upstreams ended under its content";
        if self.relay.has_begun() {
            return Finish::cut(why);
        }
        let retry_after = self.world.now().until(until);
        let own = match self.runs {
            0 => Own::Barred { retry_after },
            _ => Own::Ended { retry_after },
        };
        self.own(own, why).await
    }

    async fn attempt(&mut self) -> Next {
        let model = self.model_name().cloned();
        let choice = match self.choose(model.as_ref(), &self.tried) {
            Ok(choice) => choice,
            Err(no) => return Next::Nowhere(no),
        };
        if self.sends + self.unreachable > 0 {
            self.log("requests: sent again", choice.index);
        }
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
            is_trial: self.is_trial,
        };
        let sent = attempt.send(choice).await;
        self.take_sent(sent).await
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

    async fn relay_stream(
        &mut self,
        index: UpstreamIndex,
        mut stream: crate::attempt::Stream<T>,
    ) -> Next {
        self.log("requests: streaming", index);
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
            Own::Barred { .. } | Own::Ended { .. } => Outcome::Barred,
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
