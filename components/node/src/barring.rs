//! Requests that end the upstreams which run them: noted, told to other daemons, refused.

use std::sync::{Arc, Mutex};

use callers::Request;
use http1::probe_refused;
use poison::{
    Admission, AttemptEnd as PoisonAttemptEnd, AttemptId, Attempts, Content, CrashedAttempt,
    PoisonPolicy, SharedSuspects, Suspects, UpstreamInstance,
};
use requests::attempt::{AttemptEnd, Doubt};
use routing::UpstreamIndex;
use serde_json::json;
use types::prelude::*;

use crate::shared::lock;
use crate::traffic::Taken;

/// Ends of one upstream within these ms are one.
const SAME_END_MS: u64 = 4_000;
/// A customer's content on its way.
#[derive(Debug, Clone)]
pub(crate) struct Asked {
    pub(crate) content: Content,
    pub(crate) customer: Arc<str>,
}

impl Asked {
    /// Of a request.
    pub(crate) fn of(customer: &CustomerId, req: &Request, body: &[u8]) -> Self {
        let target = match req.query.as_str() {
            "" => req.path.clone(),
            query => format!("{}?{query}", req.path),
        };
        let customer = customer.as_str();
        Self {
            content: Content::of(customer, "", req.method.as_str(), &target, body),
            customer: Arc::from(customer),
        }
    }
}

/// What is known of requests under which upstreams end.
#[derive(Debug)]
pub(crate) struct Barring {
    clock: Clock,
    pub(crate) suspects: SharedSuspects,
    runs: Mutex<Attempts<UpstreamIndex>>,
}

impl Barring {
    pub(crate) fn new(me: &DaemonId, clock: Clock) -> Self {
        let suspects = Suspects::new(PoisonPolicy::default(), me.as_str());
        Self {
            clock,
            suspects: SharedSuspects::new(suspects),
            runs: Mutex::default(),
        }
    }

    /// How long a content is barred still, if it is. Takes the trial of one whose bar lapses.
    ///
    /// Guards against a request that ends each upstream which begins to run it: without this
    /// look before every attempt it ends as many as its attempts and repeats reach.
    pub(crate) fn barred_for(&self, asked: &Asked) -> Option<Span> {
        let now = self.clock.now();
        let mut suspects = self.suspects.lock();
        match suspects.admission(now, asked.content) {
            Admission::Open => None,
            Admission::Quarantined { until } => Some(now.until(until)),
            Admission::Trial => {
                suspects.trial_sent(now, asked.content);
                None
            }
        }
    }

    /// Notes that a content goes to an upstream.
    pub(crate) fn sent(&self, taken: &Taken, asked: &Asked) -> AttemptId {
        let now = self.clock.now();
        let customer = Some(Arc::clone(&asked.customer));
        lock(&self.runs).sent(now, taken.index, asked.content, customer)
    }

    /// Notes how a run was over; where it broke, waits until it is known whether its upstream has
    /// ended, for a fifth of a second at most.
    pub(crate) async fn over(
        &self,
        taken: &Taken,
        asked: &Asked,
        run: AttemptId,
        end: &AttemptEnd,
    ) {
        let now = self.clock.now();
        let how = run_end(end);
        if how == PoisonAttemptEnd::Answered {
            self.suspects.lock().answered(now, asked.content);
        }
        let under = lock(&self.runs).attempt_ended(now, taken.index, run, how);
        if let Some(under) = under {
            return self.ended(taken, &[under]);
        }
        if how == PoisonAttemptEnd::Broken && probe_refused(taken.address).await {
            let under =
                lock(&self.runs).upstream_crashed(self.clock.now(), taken.index, Time::ZERO);
            self.ended(taken, &under.unwrap_or_default());
        }
    }

    fn ended(&self, taken: &Taken, under: &[CrashedAttempt]) {
        tracing::warn!(
            "traffic: upstream {} ended under {} requests",
            taken.id,
            under.len()
        );
        let upstream = UpstreamInstance {
            id: taken.id.clone(),
            started_at: Some(about(self.clock.wall())),
        };
        let mut suspects = self.suspects.lock();
        suspects.upstream_crashed(self.clock.now(), &upstream, under);
    }

    /// What is barred, for operators.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let barred = self.suspects.lock().quarantined();
        let barred = barred.into_iter().map(|bar| {
            let ends = bar.crashes.iter();
            let ends = ends.map(|(upstream, ran)| json!({"upstream": upstream.id, "ran": ran}));
            json!({
                "content": bar.content,
                "customer": bar.customer,
                "since": now.since(bar.since),
                "tried_in": now.until(bar.until),
                "ends": ends.collect::<Vec<_>>(),
            })
        });
        barred.collect()
    }

    /// Forgets what is too old, and takes how large the fleet is.
    pub(crate) fn tidy(&self, now: Time, daemons: usize, upstreams: usize) {
        lock(&self.runs).expire(now);
        let mut suspects = self.suspects.lock();
        suspects.set_fleet(daemons, upstreams);
        suspects.expire(now);
    }
}

/// The same moment for all daemons that see one end: upstreams of the catalogue keep their name over
/// a restart and do not tell when they started, and a restart takes longer than this.
fn about(wall: WallTime) -> WallTime {
    WallTime(wall.0 - wall.0 % SAME_END_MS)
}

/// What an attempt's end says of the upstream.
fn run_end(end: &AttemptEnd) -> PoisonAttemptEnd {
    match end {
        AttemptEnd::Whole { .. } => PoisonAttemptEnd::Answered,
        AttemptEnd::Unknown(Doubt::Reset) | AttemptEnd::Truncated { .. } => {
            PoisonAttemptEnd::Broken
        }
        AttemptEnd::Unknown(Doubt::TimedOut) | AttemptEnd::CallerGone => PoisonAttemptEnd::GivenUp,
        AttemptEnd::UpstreamError(_) | AttemptEnd::Crossed => PoisonAttemptEnd::Failed,
        AttemptEnd::NotSent | AttemptEnd::RefusedNotRun { .. } => PoisonAttemptEnd::NotStarted,
    }
}
