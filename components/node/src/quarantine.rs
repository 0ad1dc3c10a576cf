//! Quarantine of requests that crash upstreams: crash detection here, and the refusals that
//! follow. The other daemons learn of it through the control thread.

use std::sync::{Arc, Mutex};

use callers::Request;
use http1::probe_refused;
use poison::{
    Admission, AttemptEnd as PoisonAttemptEnd, AttemptId, Attempts, Content, CrashedAttempt,
    PoisonPolicy, SharedSuspects, Suspects, UpstreamInstance,
};
use requests::attempt::{AttemptEnd, UnknownCause};
use routing::UpstreamIndex;
use serde_json::json;
use types::prelude::*;

use crate::shared::lock;
use crate::traffic::PickedUpstream;

/// Crashes of one upstream within this many milliseconds count as one.
const CRASH_WINDOW_MS: u64 = 4_000;
/// A request's content and the customer that sent it.
#[derive(Debug, Clone)]
pub(crate) struct CustomerContent {
    pub(crate) content: Content,
    pub(crate) customer: Arc<str>,
}

impl CustomerContent {
    /// Identifies a request's content by its customer, method, target and body.
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

/// The contents suspected of crashing upstreams, and the attempts in flight at each upstream.
#[derive(Debug)]
pub(crate) struct Quarantine {
    clock: Clock,
    pub(crate) suspects: SharedSuspects,
    attempts: Mutex<Attempts<UpstreamIndex>>,
}

impl Quarantine {
    pub(crate) fn new(me: &DaemonId, clock: Clock) -> Self {
        let suspects = Suspects::new(PoisonPolicy::default(), me.as_str());
        Self {
            clock,
            suspects: SharedSuspects::new(suspects),
            attempts: Mutex::default(),
        }
    }

    /// How long a content stays quarantined, if it is. Takes the trial once the quarantine has
    /// expired.
    ///
    /// Called before every attempt: a request that crashes each upstream which starts it would
    /// otherwise crash as many as its attempts and retries reach.
    pub(crate) fn quarantined_for(&self, content: &CustomerContent) -> Option<Span> {
        let now = self.clock.now();
        let mut suspects = self.suspects.lock();
        match suspects.admission(now, content.content) {
            Admission::Open => None,
            Admission::Quarantined { until } => Some(now.until(until)),
            Admission::Trial => {
                suspects.trial_sent(now, content.content);
                None
            }
        }
    }

    /// Whether a content may be sent, and not only as a trial.
    pub(crate) fn is_open(&self, content: &CustomerContent) -> bool {
        let now = self.clock.now();
        let admission = self.suspects.lock().admission(now, content.content);
        matches!(admission, Admission::Open)
    }

    /// Records that a content is sent to an upstream.
    pub(crate) fn attempt_started(
        &self,
        picked: &PickedUpstream,
        content: &CustomerContent,
    ) -> AttemptId {
        let now = self.clock.now();
        let customer = Some(Arc::clone(&content.customer));
        lock(&self.attempts).sent(now, picked.index, content.content, customer)
    }

    /// Records how an attempt ended. If its connection broke, waits until it is known whether the
    /// upstream crashed, for a fifth of a second at most.
    pub(crate) async fn attempt_ended(
        &self,
        picked: &PickedUpstream,
        content: &CustomerContent,
        attempt: AttemptId,
        end: &AttemptEnd,
    ) {
        let now = self.clock.now();
        let kind = attempt_end(end);
        if kind == PoisonAttemptEnd::Answered {
            self.suspects.lock().answered(now, content.content);
        }
        let crashed = lock(&self.attempts).attempt_ended(now, picked.index, attempt, kind);
        if let Some(crashed) = crashed {
            return self.record_crash(picked, &[crashed]);
        }
        if kind == PoisonAttemptEnd::Broken && probe_refused(picked.address).await {
            let crashed =
                lock(&self.attempts).upstream_crashed(self.clock.now(), picked.index, Time::ZERO);
            self.record_crash(picked, &crashed.unwrap_or_default());
        }
    }

    fn record_crash(&self, picked: &PickedUpstream, crashed: &[CrashedAttempt]) {
        tracing::warn!(
            "traffic: upstream {} crashed with {} requests in flight",
            picked.id,
            crashed.len()
        );
        let upstream = UpstreamInstance {
            id: picked.id.clone(),
            started_at: Some(rounded(self.clock.wall())),
        };
        let mut suspects = self.suspects.lock();
        suspects.upstream_crashed(self.clock.now(), &upstream, crashed);
    }

    /// The quarantined contents, for the dump.
    pub(crate) fn dump(&self, now: Time) -> serde_json::Value {
        let quarantined = self.suspects.lock().quarantined();
        let quarantined = quarantined.into_iter().map(|entry| {
            let crashes = entry.crashes.iter();
            let crashes =
                crashes.map(|(upstream, ran)| json!({"upstream": upstream.id, "ran": ran}));
            json!({
                "content": entry.content,
                "customer": entry.customer,
                "since": now.since(entry.since),
                "tried_in": now.until(entry.until),
                "ends": crashes.collect::<Vec<_>>(),
            })
        });
        quarantined.collect()
    }

    /// Drops expired records, and sets the size of the fleet.
    pub(crate) fn expire(&self, now: Time, daemons: usize, upstreams: usize) {
        lock(&self.attempts).expire(now);
        let mut suspects = self.suspects.lock();
        suspects.set_fleet(daemons, upstreams);
        suspects.expire(now);
    }
}

/// Rounds the time of a crash, so that all daemons that see the crash give it the same one.
/// Upstreams of the catalogue keep their id over a restart and do not report when they started;
/// a restart takes longer than the rounding.
fn rounded(wall: WallTime) -> WallTime {
    WallTime(wall.0 - wall.0 % CRASH_WINDOW_MS)
}

/// Maps an attempt's end to what it shows about the upstream.
fn attempt_end(end: &AttemptEnd) -> PoisonAttemptEnd {
    match end {
        AttemptEnd::Complete { .. } => PoisonAttemptEnd::Answered,
        AttemptEnd::Unknown(UnknownCause::Reset) | AttemptEnd::Truncated { .. } => {
            PoisonAttemptEnd::Broken
        }
        AttemptEnd::Unknown(UnknownCause::TimedOut) | AttemptEnd::CallerGone => {
            PoisonAttemptEnd::GivenUp
        }
        AttemptEnd::UpstreamError(_) | AttemptEnd::AnswerOfOtherAttempt => PoisonAttemptEnd::Failed,
        AttemptEnd::NotSent | AttemptEnd::RefusedNotRun { .. } => PoisonAttemptEnd::NotStarted,
    }
}
