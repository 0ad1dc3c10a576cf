//! Canary roll-out of a new version of a service, and the judgement of that version.
//!
//! A version can be bad from its start, after a while, under load or on one route, and one that is
//! bad only under more load than there is shows nothing at all. So the operators' bound on the
//! requests that a bad version may get is enforced by count, whatever the judgement. The new
//! version has a small canary share, then for some seconds the share that loads a few of its
//! upstreams as much as everything will load all of them, and gets everything once all requests
//! still to come fit into the bound, a second or two before the time is up ([`exposure`]). It is
//! completed after some time of that, because a completed version cannot be reverted. The
//! judgement compares both versions over the same time, because upstreams also fail for other
//! reasons ([`judge`]).

mod exposure;
mod gate;
mod history;
mod judge;

use std::collections::BTreeSet;
use std::sync::Arc;

use routes::{RolloutOrder, RolloutState};
use types::prelude::*;

use crate::evidence::Evidence;
pub use exposure::TrialLimits;
use exposure::{Exposure, FULL_SHARE_TEST, LATEST_DECISION_MARGIN, RequestRate};
pub use gate::{Gate, Permit};
pub use history::VersionHistory;
use judge::{Certainty, FailureScope, Fault, FaultConfirmation, fails_more, find_fault};

/// Delay after the order until the new version gets its first requests: by then every daemon
/// has reported its active sessions, and a restarted one has learned of the order.
const CANARY_DELAY: Span = Span::from_millis(2_500);
/// Progress of the roll-out from which the new version may get the full share: sessions stay on
/// their version in the first half.
const FULL_SHARE_FROM: f64 = 0.52;
/// Least time at the full share before completion, once no request is outstanding on the old
/// version any more. A version that is bad under load shows it within a second; a completed one
/// cannot be reverted.
const MIN_FULL_SHARE_TIME: Span = Span::from_millis(1_200);
/// Time before the end at which the roll-out is decided if all requests still to come fit into the
/// bound; otherwise it is decided when they do, at the latest [`LATEST_DECISION_MARGIN`] before the
/// end.
///
/// Daemons may learn of an order half a second late, a slow store's answer takes 0.4 s, and
/// another daemon's turn 0.2 s. A stream that is still outstanding continues at another upstream.
const DECISION_MARGIN: Span = Span::from_millis(1_500);
/// Answers of the new version needed for the full share, unless there is hardly any traffic.
const MIN_CANARY_ANSWERS: u32 = 40;
/// Progress from which the full share needs no such answers: there is hardly any traffic then.
const UNTESTED_FULL_SHARE_FROM: f64 = 0.62;

/// Used share of the allowed exposure from which a suspicion suffices to revert: what comes
/// after cannot be taken back, and reverting a good version costs little in comparison.
const SUSPICION_EXPOSURE_SHARE: f64 = 0.85;

/// Judgement of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Not decided yet.
    Open,
    /// No fault was found: it has served alone for long enough, or its time is up.
    Good,
    /// It fails more often than the old one.
    Failing,
    /// It is several times slower.
    Slow,
}

impl Verdict {
    /// Whether the new version is to be reverted.
    #[must_use]
    pub fn is_bad(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }

    /// Returns the state that records the judgement; `None` while it is open.
    #[must_use]
    pub fn final_state(self) -> Option<RolloutState> {
        match self {
            Self::Open => None,
            Self::Good => Some(RolloutState::Completed),
            Self::Failing | Self::Slow => Some(RolloutState::Reverted),
        }
    }
}

impl From<Fault> for Verdict {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Failing => Self::Failing,
            Fault::Slow => Self::Slow,
        }
    }
}

/// Result of a step of the trial.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialStep {
    /// How to divide traffic.
    pub gate: Gate,
    /// Judgement of the new version. A good one may still become bad until it is recorded.
    pub verdict: Verdict,
    /// The final state to record now.
    pub final_state: Option<RolloutState>,
}

/// One roll-out as this daemon sees it.
#[derive(Debug)]
pub struct Trial {
    order: RolloutOrder,
    limits: TrialLimits,
    known_since: Time,
    /// How much longer peers have known the order than this process.
    peers_ahead: Span,
    /// Sessions that stay on their version, by [`Gate::mark`].
    staying: Arc<BTreeSet<u32>>,
    /// What the roll-outs before this order left.
    history: VersionHistory,
    /// The new version, and those that get no requests because of the history.
    barred: Arc<[Arc<str>]>,
    /// State as recorded in the store.
    state: RolloutState,
    verdict: Verdict,
    /// Faults that may be transient.
    confirmation: FaultConfirmation,
    /// The new version's current share, and the evidence from before it.
    share_level: ShareLevel,
    request_rate: RequestRate,
    stage: Stage,
    /// Upstreams of the new version.
    upstreams: usize,
}

/// What the new version gets, which only rises until it is found bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// A share so small that it may last.
    Canary,
    /// A share that loads some of its upstreams fully.
    LoadTest,
    /// Everything.
    Full,
}

/// A period in which the new version's share is constant.
#[derive(Debug, Clone, Copy, Default)]
struct ShareLevel {
    share: f64,
    since: Time,
    /// Evidence from before its upstreams had their current load.
    before: Evidence,
}

impl Trial {
    /// Creates a trial for an order that was just learned of.
    #[must_use]
    pub fn new(now: Time, order: RolloutOrder, limits: TrialLimits) -> Self {
        let barred = Arc::from([order.to.clone()]);
        Self {
            history: VersionHistory::default(),
            barred,
            order,
            limits,
            known_since: now,
            peers_ahead: Span::ZERO,
            staying: Arc::default(),
            state: RolloutState::Running,
            verdict: Verdict::Open,
            confirmation: FaultConfirmation::default(),
            share_level: ShareLevel::default(),
            request_rate: RequestRate::default(),
            stage: Stage::Canary,
            upstreams: 0,
        }
    }

    /// Adds what is known from the roll-outs before this order. Returns whether any of it is new.
    pub fn merge_history(&mut self, history: &VersionHistory) -> bool {
        let mut merged = self.history.clone();
        merged.merge(history);
        if merged == self.history {
            return false;
        }
        let barred = merged.barred.iter();
        let barred = barred.filter(|version| **version != self.order.to);
        let to = std::iter::once(&self.order.to);
        self.barred = to.chain(barred).cloned().collect();
        self.history = merged;
        true
    }

    /// What was known before this order.
    #[must_use]
    pub fn history(&self) -> &VersionHistory {
        &self.history
    }

    /// What an order that replaces this one starts from.
    #[must_use]
    pub fn history_after(&self) -> VersionHistory {
        self.history.after(&self.order.to, self.state)
    }

    /// Whether the order leads back to a version that served all requests before. There is nothing
    /// to judge then, and the only other versions are those that it is to replace.
    fn is_rollback(&self) -> bool {
        self.history.is_stable(&self.order.to)
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the roll-out's state, by the store or this daemon's judgement.
    #[must_use]
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns the judgement so far.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the time since the order became known.
    #[must_use]
    pub fn elapsed(&self, now: Time) -> Span {
        now.since(self.known_since) + self.peers_ahead
    }

    /// Sets the state recorded in the store; the first final one stays. Returns whether it changed.
    pub fn set_state(&mut self, state: RolloutState) -> bool {
        let has_changed = !self.state.is_final() && state != self.state;
        if has_changed {
            self.state = state;
        }
        has_changed
    }

    /// Adopts a peer's elapsed time of this order if it is ahead.
    ///
    /// A daemon that restarts in the middle of a roll-out would otherwise start it again and send
    /// sessions back to the old version until the roll-out ends.
    pub fn adopt_elapsed(&mut self, now: Time, elapsed: Span) {
        let ahead = elapsed - self.elapsed(now);
        self.peers_ahead = self.peers_ahead + ahead;
    }

    /// Adds sessions that some daemon saw active on another version.
    pub fn add_staying(&mut self, sessions: impl IntoIterator<Item = u32>) {
        let unknown = sessions.into_iter().filter(|s| !self.staying.contains(s));
        let unknown = unknown.collect::<Vec<_>>();
        if !unknown.is_empty() {
            Arc::make_mut(&mut self.staying).extend(unknown);
        }
    }

    /// Sets the number of the new version's upstreams. It stays the same from the load test on, so
    /// that sessions keep their version when an upstream crashes.
    pub fn set_upstreams(&mut self, upstreams: usize) {
        if self.stage == Stage::Canary {
            self.upstreams = upstreams;
        }
    }

    /// Marks the new version as bad, as a peer found.
    pub fn mark_bad(&mut self, verdict: Verdict) {
        if !self.verdict.is_bad() && !self.is_rollback() {
            self.verdict = verdict;
        }
    }

    /// Judges the new version by the fleet's evidence and returns how to divide traffic.
    ///
    /// `can_serve` caps the new version's share.
    pub fn step(&mut self, now: Time, fleet: &Evidence, can_serve: f64) -> TrialStep {
        if !self.verdict.is_bad() && self.state == RolloutState::Running {
            self.verdict = self.judge(now, fleet);
        }
        self.request_rate.update(now, sent(fleet));
        self.stage = self.stage.max(self.next_stage(now, fleet));
        let share = self.share(now, can_serve);
        self.note_share(now, share, fleet);
        TrialStep {
            gate: Gate {
                service: self.order.service.clone(),
                to: self.order.to.clone(),
                barred: Arc::clone(&self.barred),
                order: self.order.revision,
                share,
                keeps_sessions: self.progress(now) < FULL_SHARE_FROM,
                first_share: self.canary_share(),
                staying: Arc::clone(&self.staying),
            },
            verdict: self.verdict,
            final_state: self.final_state(now),
        }
    }

    /// Returns the final state to record now.
    fn final_state(&self, now: Time) -> Option<RolloutState> {
        let has_full_share = self.share_level.share >= 1.0;
        let is_tested = has_full_share && now.since(self.share_level.since) >= FULL_SHARE_TEST;
        let may_complete = is_tested || self.left(now) <= LATEST_DECISION_MARGIN;
        let state = self.verdict.final_state();
        state.filter(|state| *state != RolloutState::Completed || may_complete)
    }

    fn progress(&self, now: Time) -> f64 {
        let within = self.order.decision_timeout.as_secs_f64().max(1.0);
        self.elapsed(now).as_secs_f64() / within
    }

    /// Time left until the end of the roll-out.
    fn left(&self, now: Time) -> Span {
        self.order.decision_timeout - self.elapsed(now)
    }

    fn judge(&mut self, now: Time, fleet: &Evidence) -> Verdict {
        // Upstreams of the other versions stop at its completion; until then they end what they run.
        if self.is_rollback() {
            return match self.left(now) <= DECISION_MARGIN {
                true => Verdict::Good,
                false => Verdict::Open,
            };
        }
        if let Some(fault) = self.fault(now, fleet) {
            return fault.into();
        }
        let has_full_share = self.share_level.share >= 1.0;
        let serves_alone = fleet.old.sum().out == 0 && has_full_share;
        let has_lasted = now.since(self.share_level.since) >= MIN_FULL_SHARE_TIME;
        let is_due = serves_alone && has_lasted || self.is_time_up(now, fleet);
        if !is_due {
            return Verdict::Open;
        }
        // A fault of a rare kind of request shows only three or four times at a small share, and a
        // completed version cannot be reverted. A good one reverted on a suspicion is only delayed.
        let suspicion = find_fault(fleet, FailureScope::Reported, Certainty::Suspicion);
        suspicion.map_or(Verdict::Good, Verdict::from)
    }

    /// Whether the roll-out must be decided now to be recorded in time.
    fn is_time_up(&self, now: Time, fleet: &Evidence) -> bool {
        let left = self.left(now);
        let rest_fits = || self.stage == Stage::Full || self.exposure(now, fleet).fits_everything();
        left <= LATEST_DECISION_MARGIN || left <= DECISION_MARGIN && rest_fits()
    }

    /// Returns the new version's fault, if it is certain enough.
    ///
    /// While its share is small, slow answers must persist to count, since waiting costs only a
    /// few of them. Once the share is large, each moment costs many.
    fn fault(&mut self, now: Time, fleet: &Evidence) -> Option<Fault> {
        let at_once = if self.has_used_exposure(now, fleet) {
            self.fault_at_level(fleet, Certainty::Suspicion)
        } else if self.progress(now) >= FULL_SHARE_FROM {
            self.fault_at_level(fleet, Certainty::Detection)
        } else {
            fails_more(fleet, Certainty::Detection).then_some(Fault::Failing)
        };
        at_once.or_else(|| self.confirmation.confirmed(now, fleet))
    }

    /// Returns the new version's fault, by all evidence or by the failures at its current
    /// share.
    ///
    /// The failures at the current share are judged by themselves because a version may turn bad
    /// late: hundreds of good answers from before make a tenth of bad ones look like a twentieth.
    fn fault_at_level(&self, fleet: &Evidence, certainty: Certainty) -> Option<Fault> {
        let present = Evidence {
            new: fleet.new.since(&self.share_level.before.new),
            ..*fleet
        };
        let by_all = find_fault(fleet, FailureScope::Reported, certainty);
        by_all.or_else(|| fails_more(&present, certainty).then_some(Fault::Failing))
    }

    /// Whether most of the allowed exposure is used up, at the mean request rate so far.
    fn has_used_exposure(&self, now: Time, fleet: &Evidence) -> bool {
        let (new, old) = (fleet.new.sum().sent, fleet.old.sum().sent);
        let by_the_end = f64::from(new + old) / self.progress(now).clamp(0.05, 1.0);
        let allowed = self.limits.exposure * by_the_end + self.limits.allowance;
        f64::from(new) > SUSPICION_EXPOSURE_SHARE * allowed
    }

    /// The new version's exposure so far. Requests to come are expected at the mean rate; where the
    /// current rate is above it, at the rate that the same growth leads to by the end.
    fn exposure(&self, now: Time, fleet: &Evidence) -> Exposure<'_> {
        let all = f64::from(sent(fleet));
        let elapsed = self.elapsed(now).as_secs_f64().max(1.0);
        let left = self.left(now);
        let mean = all / elapsed;
        let present = self.request_rate.per_sec();
        // The mean rate is that of half the elapsed time ago.
        let growth = (present - mean) / (elapsed / 2.0);
        Exposure {
            limits: &self.limits,
            left,
            new: f64::from(fleet.new.sum().sent),
            all,
            rate: mean.max(present + growth * left.as_secs_f64()),
        }
    }

    fn canary_share(&self) -> f64 {
        self.limits.canary_share(self.order.decision_timeout)
    }

    fn load_test_share(&self) -> Option<f64> {
        let timeout = self.order.decision_timeout;
        self.limits.load_test_share(timeout, self.upstreams)
    }

    /// Returns the stage that the evidence allows.
    fn next_stage(&self, now: Time, fleet: &Evidence) -> Stage {
        let progress = self.progress(now);
        let has_enough_answers =
            fleet.new.sum().answers() >= MIN_CANARY_ANSWERS || progress >= UNTESTED_FULL_SHARE_FROM;
        if progress < FULL_SHARE_FROM || !has_enough_answers || is_suspect(fleet) {
            return Stage::Canary;
        }
        let exposure = self.exposure(now, fleet);
        if exposure.fits_everything() {
            return Stage::Full;
        }
        match self.load_test_share() {
            Some(share) if exposure.fits_load_test(share) => Stage::LoadTest,
            _ => Stage::Canary,
        }
    }

    fn share(&self, now: Time, can_serve: f64) -> f64 {
        match self.state {
            RolloutState::Completed => return 1.0,
            RolloutState::Reverted => return 0.0,
            RolloutState::Running if self.is_rollback() && can_serve > 0.0 => return 1.0,
            RolloutState::Running => {}
        }
        if self.verdict.is_bad() || now.since(self.known_since) < CANARY_DELAY {
            return 0.0;
        }
        let share = match self.stage {
            Stage::Canary => self.canary_share(),
            Stage::LoadTest => self.load_test_share().unwrap_or(1.0),
            Stage::Full => 1.0,
        };
        share.min(can_serve)
    }

    /// Notes the new version's share. When its upstreams get another load by that, evidence is
    /// counted anew.
    fn note_share(&mut self, now: Time, share: f64, fleet: &Evidence) {
        let previous = self.share_level;
        if share == previous.share {
            return;
        }
        let is_full_load = |share| self.load_test_share().is_some_and(|loads| share >= loads);
        let is_load_kept = is_full_load(previous.share) && is_full_load(share);
        self.share_level = ShareLevel {
            share,
            since: now,
            before: if is_load_kept {
                previous.before
            } else {
                *fleet
            },
        };
    }
}

/// Number of requests sent to either version.
fn sent(fleet: &Evidence) -> u32 {
    fleet.new.sum().sent + fleet.old.sum().sent
}

/// Whether the new version reports more failures than chance explains, though too few for a
/// detection. Its share is not raised then.
fn is_suspect(fleet: &Evidence) -> bool {
    fails_more(fleet, Certainty::Suspicion)
}
