//! Decisions on a request: upstream, version, model, and whether to go on.

use std::sync::Arc;
use std::time::Duration;

use dispatch::{
    Cascade, Choice, Draft, Gate, NoUpstream, Permit, Requirements, RetryReason, UpstreamIndex,
};
use poison::Admission;
use types::prelude::*;

use super::{Exchange, MAX_EXTRA_SENDS};
use crate::retries::ChargeKind;
use crate::translate::Translator;
use crate::tunnel::lease::Lease;

/// Share of the route's objective for which a request waits for an upstream with room.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Interval at which it looks for one.
const ROOM_POLL: Duration = Duration::from_millis(10);
/// Interval at which a request that waits for room asks other daemons for a share.
const ASK_INTERVAL: Span = Span::from_millis(50);
/// Most other daemons that are asked for a share at a time.
const MAX_LENDERS_ASKED: usize = 4;
/// Time after which no further one is asked: a request that nobody lends is refused at once.
const MAX_LEASE_WAIT: Span = Span::from_millis(100);
/// How long a request waits at most for others to show whether a suspected part of its prompt
/// crashes upstreams, or for a retry after it was taken back for one, and the share of its time that
/// this may take.
const MAX_HOLD: Span = Span::from_secs(3);
const MAX_HOLD_SHARE: f64 = 0.5;
/// Interval at which a request that waits for a retry looks for one.
const RETRY_POLL: Duration = Duration::from_millis(20);
/// Interval at which it looks whether they have.
const HOLD_POLL: Duration = Duration::from_millis(10);

impl<'a, T: Translator> Exchange<'a, T> {
    /// Until when the request's content is quarantined; none if it isn't. Takes the half-open trial
    /// when the quarantine has expired.
    ///
    /// Without this check before every send, a request that crashes each upstream processing it
    /// would crash as many as its route allows attempts, each time that its caller sends it to any
    /// daemon.
    pub(super) fn quarantined_until(&mut self) -> Option<Time> {
        if self.is_trial && self.runs == 0 {
            return None;
        }
        let now = self.shared.now();
        let (contents, customer) = (&self.request.contents, self.request.customer_name());
        let mut suspects = self.shared.cfg.suspects.lock();
        match suspects.admission_of(now, contents, customer) {
            Admission::Open => None,
            Admission::Quarantined { until } => Some(until),
            Admission::Trial => {
                suspects.trial_sent_of(now, contents, customer);
                self.is_trial = true;
                None
            }
        }
    }

    /// Whether one of its contents was quarantined while the request was in flight.
    pub(super) fn is_quarantined(&self) -> bool {
        self.shared.is_quarantined(self.request)
    }

    /// Whether its content is close to being quarantined, or a part of its prompt is suspected.
    pub(super) fn is_suspect(&self) -> bool {
        let (contents, customer) = (&self.request.contents, self.request.customer_name());
        let suspects = self.shared.cfg.suspects.lock();
        suspects.is_suspect_of(contents, customer)
    }

    /// Waits while other requests show whether a suspected part of the prompt crashes upstreams.
    pub(super) async fn wait_while_held(&self) {
        let deadline = self.max_held_until();
        while self.is_held() && !self.shared.now().has_reached(deadline) {
            tokio::time::sleep(HOLD_POLL).await;
        }
        let (contents, customer) = (&self.request.contents, self.request.customer_name());
        let now = self.shared.now();
        let mut suspects = self.shared.cfg.suspects.lock();
        suspects.probe_sent(now, contents, customer);
        drop(suspects);
        self.shared.cfg.suspects.notify();
    }

    /// Until when the request is held at most.
    pub(super) fn max_held_until(&self) -> Time {
        let now = self.shared.now();
        let left = now.until(self.request.deadline).as_secs_f64();
        now + Span::from_secs_f64(left * MAX_HOLD_SHARE).min(MAX_HOLD)
    }

    fn is_held(&self) -> bool {
        let (contents, customer) = (&self.request.contents, self.request.customer_name());
        let suspects = self.shared.cfg.suspects.lock();
        let held_until = suspects.held_until(self.shared.now(), contents, customer);
        held_until.is_some()
    }

    /// Logs the quarantined part of the prompt for which the request is refused; false if there is
    /// none.
    pub(super) fn log_quarantined_part(&self) -> bool {
        let (contents, customer) = (&self.request.contents, self.request.customer_name());
        let part = self.shared.cfg.suspects.lock();
        let part = part.quarantined_part(contents, customer);
        if let Some(part) = part {
            let id = &*self.request.ask.attempt;
            tracing::info!(id, %part, "requests: a part of the prompt is quarantined");
        }
        part.is_some()
    }

    /// Chooses an upstream for a model.
    pub(super) fn choose(
        &self,
        model: Option<&Arc<str>>,
        tried: &[UpstreamIndex],
    ) -> Result<Choice, NoUpstream> {
        self.with_requirements(model, tried, |requirements| {
            let now = self.shared.now();
            let upstreams = self.shared.upstreams.borrow();
            upstreams.choose(now, requirements, &mut *self.shared.rng.borrow_mut())
        })
    }

    /// Runs `f` with what the request requires of an upstream.
    fn with_requirements<R>(
        &self,
        model: Option<&Arc<str>>,
        tried: &[UpstreamIndex],
        f: impl FnOnce(&Requirements<'_>) -> R,
    ) -> R {
        let permit = self.permit();
        let prompt = self.request.ask.prompt.as_ref();
        f(&Requirements {
            service: &self.service,
            model,
            parts: prompt.map_or(&[], |prompt| &prompt.parts),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens),
            permit: &permit,
            isolated: self.is_trial || self.is_suspect(),
            exclude: tried,
            local_domain: &self.shared.cfg.failure_domain,
        })
    }

    /// Chooses an upstream for a model. Where this daemon has no share of it left, other daemons are
    /// asked for one. Waits a moment for an upstream with room: waiting here does a brittle one no
    /// harm.
    pub(super) async fn choose_when_free(
        &self,
        model: Option<&Arc<str>>,
    ) -> Result<(Choice, Option<Lease>), NoUpstream> {
        let objective = self.request.route.objective.as_secs_f64();
        let max_wait = Span::from_secs_f64(objective * MAX_WAIT_SHARE);
        let deadline = self.shared.now() + max_wait;
        let mut ask_at = self.shared.now();
        loop {
            let no = match self.choose(model, &self.tried) {
                Ok(choice) => return Ok((choice, None)),
                Err(no) => no,
            };
            if no.is_without_share() && self.shared.now().has_reached(ask_at) {
                if let Some((choice, lease)) = self.lease(model).await {
                    return Ok((choice, Some(lease)));
                }
                ask_at = self.shared.now() + ASK_INTERVAL;
            }
            let is_busy = matches!(no, NoUpstream::Busy { .. });
            if !is_busy || self.shared.now().has_reached(deadline) {
                return Err(no);
            }
            tokio::time::sleep(ROOM_POLL).await;
        }
    }

    /// Chooses an upstream to which another daemon lends the request.
    pub(super) async fn lease(&self, model: Option<&Arc<str>>) -> Option<(Choice, Lease)> {
        let deadline = self.shared.now() + MAX_LEASE_WAIT;
        for _ in 0..MAX_LENDERS_ASKED {
            if self.shared.now().has_reached(deadline) {
                return None;
            }
            let choice = self.choose_leased(model)?;
            if let Some(lease) = self.shared.take_lease(&choice, choice.lease?).await {
                return Some((choice, lease));
            }
        }
        None
    }

    fn choose_leased(&self, model: Option<&Arc<str>>) -> Option<Choice> {
        self.with_requirements(model, &self.tried, |requirements| {
            let now = self.shared.now();
            let peers = self.shared.tunnel_peers.borrow();
            let can_ask = |daemon| peers.address(daemon).is_some();
            let upstreams = self.shared.upstreams.borrow();
            let rng = &mut *self.shared.rng.borrow_mut();
            upstreams.choose_leased(now, requirements, can_ask, rng)
        })
    }

    /// Adds to the report how much the bound for which the request is refused leaves to this daemon.
    pub(super) fn report_shortage(&mut self, no: NoUpstream) {
        let model = self.model_name();
        let shortage = self.with_requirements(model, &self.tried, |requirements| {
            let upstreams = self.shared.upstreams.borrow();
            upstreams.shortage(self.shared.now(), requirements, no)
        });
        self.report.shortage = shortage;
    }

    /// Expected time until a model's first event.
    pub(super) fn expected_first_event(&self, model: usize) -> Option<Span> {
        let model = self.request.route.models.get(model)?;
        let choice = self.choose(Some(model), &[]).ok()?;
        let ms = choice.load.wait_ms + choice.load.expected_ms;
        Some(Span::from_secs_f64(ms / 1_000.0))
    }

    /// Whether another upstream is looked for when one is silent.
    pub(super) fn leaves_silent(&self) -> bool {
        let is_allowed = self.request.route.retry.is_allowed();
        is_allowed && self.shared.cfg.policy.timing.leaves_silent
    }

    /// Whether the request may be sent again after so many runs and one more.
    pub(super) fn has_attempt_left(&self, runs: u32) -> bool {
        let is_allowed = self.request.route.retry.is_allowed();
        is_allowed && runs + 1 < self.request.route.max_attempts
    }

    /// The versions that the request may be sent to now.
    pub(super) fn permit(&self) -> Permit {
        let now = self.shared.now();
        let plan = self.shared.plan();
        let gate = plan.gate(&self.service);
        // Upstreams of a version that nothing goes to any more stop at once when its roll-out is
        // decided, and none of them would resume the stream.
        if let Some(version) = &self.version
            && gate.is_none_or(|gate| gate.admits(version))
        {
            return Permit::Only(version.clone());
        }
        let Some(gate) = gate else {
            return Permit::Any;
        };
        if gate.should_note(self.placement_hash) {
            self.shared
                .observed
                .add_staying(gate.order, [Gate::mark(self.placement_hash)]);
        }
        let pins = self.shared.pins.borrow();
        let session = self.request.ask.session;
        let pinned = session.and_then(|session| pins.get(now, session));
        gate.permit(self.placement_hash, pinned)
    }

    pub(super) fn model_name(&self) -> Option<&'a Arc<str>> {
        self.model(self.model_index)
    }

    /// The model with this index, or the one that the caller names.
    pub(super) fn model(&self, index: Option<usize>) -> Option<&'a Arc<str>> {
        match index {
            Some(index) => self.request.route.models.get(index),
            None => self.request.ask.model.as_ref(),
        }
    }

    /// The larger model that a request with a draft of this confidence should go to.
    pub(super) fn larger_model(&self, confidence: Option<u8>) -> Option<usize> {
        // A half-open trial is sent once, so its draft is kept.
        if self.is_trial || self.relay.has_begun() || self.runs >= self.request.route.max_attempts {
            return None;
        }
        let draft = Draft {
            model_index: self.model_index?,
            attempts_left: self.request.route.max_attempts - self.runs,
            confidence: confidence?,
            arrived_at: self.request.arrived_at,
            objective: self.request.route.objective,
        };
        let models = self.request.route.models.len();
        let now = self.shared.now();
        let expected = |index| self.expected_first_event(index);
        let cascade = Cascade::new(self.shared.cfg.policy.cascade);
        cascade.next(now, models, draft, expected)
    }

    /// Takes a retry for one more send, or returns why there is none.
    pub(super) fn may_retry(&mut self) -> Result<(), &'static str> {
        self.has_send_left(self.runs, self.sends)?;
        match self.take_retry(RetryReason::Failure) {
            true => Ok(()),
            false => Err("no retry is left"),
        }
    }

    /// Takes a retry for one more send. Waits for one, where none is left, until a deadline.
    pub(super) async fn await_retry(&mut self, deadline: Time) -> Result<(), &'static str> {
        self.has_send_left(self.runs, self.sends)?;
        while self.has_no_retry(RetryReason::Failure) && !self.shared.now().has_reached(deadline) {
            tokio::time::sleep(RETRY_POLL).await;
        }
        self.may_retry()
    }

    pub(super) fn has_no_retry(&self, reason: RetryReason) -> bool {
        let usage = self.shared.retry_usage(&self.service, reason);
        usage.is_exhausted() && !self.has_spare_retry
    }

    /// Whether the request's own bounds allow one more send after so many; if not, which of them is
    /// reached.
    pub(super) fn has_send_left(&self, runs: u32, sends: u32) -> Result<(), &'static str> {
        let max_attempts = self.request.route.max_attempts;
        if runs >= max_attempts {
            return Err("no attempt is left");
        }
        if sends >= max_attempts + MAX_EXTRA_SENDS {
            return Err("no send is left");
        }
        Ok(())
    }

    /// Takes a retry from the service's budget; returns whether one was left.
    pub(super) fn take_retry(&mut self, reason: RetryReason) -> bool {
        if std::mem::take(&mut self.has_spare_retry) {
            return true;
        }
        let charge = self.shared.take_retry(&self.service, reason);
        self.report.charge = Some(charge);
        charge.kind == ChargeKind::Granted
    }
}
