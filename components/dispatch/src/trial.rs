//! Moving a service to a new version, and judging it on the way.
//!
//! A version can be bad from its start, after a while, under load or on one route, and one
//! that is bad under more load than there is shows nothing at all. So the operators' bound on
//! what a bad version may get is kept by count, whatever the judgement says: the new version
//! has a small share until all that is still to come fits into the bound, and then gets
//! everything, a second or two before the time is up. The judgement compares both versions
//! over the same time, because upstreams also fail for other reasons ([`comparison`]).

mod comparison;
mod gate;

use std::collections::BTreeSet;
use std::sync::Arc;

use routes::{RolloutOrder, RolloutState};
use types::prelude::*;

use crate::evidence::Evidence;
use comparison::{Counted, Doubt, Fault, Needed, fault_of, tells_failures};
pub use gate::{Gate, Permit};

/// The new version gets its first requests this long after the order: by then every daemon
/// has told which sessions are at work, and a restarted one has heard of it.
const OPEN_AFTER: Span = Span::from_millis(2_500);
/// Part of the allowed exposure that the first share uses: the rest is for the time in which
/// the new version carries everything and requests on the old one end. With 0.15 a version
/// that was slow on half of its requests had 16 answers when it was to be judged.
const FIRST_SHARE_OF_BOUND: f64 = 0.3;
/// Sessions stay on their version in the first half of a roll-out, so the share may only
/// rise in the second.
const RISE_FROM: f64 = 0.52;
/// Part of the bound that the count may reach: requests may come faster than before, and
/// daemons hear of each other's counts some hundred ms late.
const COUNTED_SHARE: f64 = 0.9;
/// The present rate of requests is taken over so long: a shorter one is a matter of chance.
const PACE_SPAN: Span = Span::from_secs(2);
/// Completed when nothing runs on the old version any more, so long after the new one got
/// everything. A version that is bad under load shows it within a second of that; completed
/// sooner it could not be taken back.
const CARRIES_ALL_FOR: Span = Span::from_millis(1_200);
/// Completed so long before the time is up at the latest: daemons may learn of an order half a
/// second late, a slow store's answer takes 0.4 s, and another daemon's turn 0.6 s. With 0.8 s
/// one good roll-out in eleven was written too late. A stream that is still out goes on at
/// another upstream.
const COMPLETE_BEFORE: Span = Span::from_millis(1_500);
/// Good answers before the share may rise, unless there is hardly any traffic.
const PROOF_ANSWERS: u32 = 40;
/// Without proof the share rises from here on: there is hardly any traffic then.
const UNPROVED_FROM: f64 = 0.62;

/// From this part of the allowed exposure on a suspicion is enough: what comes after it can
/// not be taken back, and a good version that is taken back costs little beside it.
const SPENT_SHARE: f64 = 0.85;

/// What the operators allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialLimits {
    /// Share of a service's requests that a bad version may get.
    pub exposure: f64,
    /// Requests that it may get beyond that.
    pub allowance: f64,
}

/// What became of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Not known yet.
    Open,
    /// It may serve alone, and does.
    Good,
    /// It fails more often than the old one.
    Failing,
    /// It is several times slower.
    Slow,
}

impl Verdict {
    /// Whether the new version is to be taken back.
    #[must_use]
    pub fn is_bad(self) -> bool {
        matches!(self, Self::Failing | Self::Slow)
    }
}

/// What a trial wants now.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialStep {
    /// How to divide traffic.
    pub gate: Gate,
    /// What became of the new version.
    pub verdict: Verdict,
}

/// One roll-out as this daemon sees it.
#[derive(Debug)]
pub struct Trial {
    order: RolloutOrder,
    limits: TrialLimits,
    since: Time,
    /// How long peers knew the order before this process did.
    before: Span,
    /// Sessions that stay where they are, by [`Gate::mark`].
    staying: Arc<BTreeSet<u32>>,
    /// The new version, and those taken back before.
    barred: Arc<[Arc<str>]>,
    /// As the store says.
    state: RolloutState,
    verdict: Verdict,
    /// Faults that may be a moment's.
    doubt: Doubt,
    /// The share that the new version has, and what was seen of it before.
    level: Level,
    /// Nothing before the first look.
    pace: Option<Pace>,
}

/// How fast requests came of late.
#[derive(Debug, Clone, Copy)]
struct Pace {
    since: Time,
    sent: u32,
    /// A second, over the last whole [`PACE_SPAN`].
    rate: f64,
}

impl Pace {
    /// Takes the requests sent so far. What was sent before the first look, by other daemons before
    /// this one started, says nothing of the present.
    fn noted(before: Option<Self>, now: Time, sent: u32) -> Self {
        let first = Self {
            since: now,
            sent,
            rate: 0.0,
        };
        let Some(before) = before else {
            return first;
        };
        let lasted = now.since(before.since);
        if lasted < PACE_SPAN {
            return before;
        }
        let came = f64::from(sent.saturating_sub(before.sent));
        Self {
            rate: came / lasted.as_secs_f64(),
            ..first
        }
    }
}

/// A step of the rising share.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    share: f64,
    since: Time,
    before: Evidence,
}

impl Trial {
    /// An order that was just seen.
    #[must_use]
    pub fn new(now: Time, order: RolloutOrder, limits: TrialLimits) -> Self {
        let barred = Arc::from([order.to.clone()]);
        Self {
            barred,
            order,
            limits,
            since: now,
            before: Span::ZERO,
            staying: Arc::default(),
            state: RolloutState::Running,
            verdict: Verdict::Open,
            doubt: Doubt::default(),
            level: Level::default(),
            pace: None,
        }
    }

    /// The same, after a roll-out of the service that this order replaces: what that one took
    /// back stays barred, unless it is wanted now.
    #[must_use]
    pub fn after(mut self, earlier: &Self) -> Self {
        let is_bad = earlier.verdict.is_bad() || earlier.state == RolloutState::Reverted;
        let skipped = usize::from(!is_bad);
        let taken_back = earlier.barred.iter().skip(skipped);
        let taken_back = taken_back.filter(|version| **version != self.order.to);
        self.barred = self.barred.iter().chain(taken_back).cloned().collect();
        self
    }

    /// The order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// How far it is, as the store or this daemon's judgement says.
    #[must_use]
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// How long the order is known.
    #[must_use]
    pub fn elapsed(&self, now: Time) -> Span {
        now.since(self.since) + self.before
    }

    /// Takes what the store says; a decision is never taken back.
    pub fn set_state(&mut self, state: RolloutState) {
        self.state = self.state.max(state);
    }

    /// Takes a peer's clock of this order if it is ahead.
    ///
    /// Guards against a daemon that restarts in the middle of a roll-out and begins it anew:
    /// it would send sessions back to the old version, up to its end.
    pub fn known_for(&mut self, now: Time, elapsed: Span) {
        let ahead = elapsed - self.elapsed(now);
        self.before = self.before + ahead;
    }

    /// Takes sessions that some daemon saw at work on another version.
    pub fn keep(&mut self, sessions: impl IntoIterator<Item = u32>) {
        let fresh = sessions.into_iter().filter(|s| !self.staying.contains(s));
        let fresh = fresh.collect::<Vec<_>>();
        if !fresh.is_empty() {
            Arc::make_mut(&mut self.staying).extend(fresh);
        }
    }

    /// Marks the new version as bad, as a peer found.
    pub fn condemn(&mut self, verdict: Verdict) {
        if !self.verdict.is_bad() {
            self.verdict = verdict;
        }
    }

    /// Judges the new version on the fleet's evidence and says how to divide traffic.
    pub fn step(&mut self, now: Time, fleet: &Evidence, can_serve: f64) -> TrialStep {
        if !self.verdict.is_bad() && self.state == RolloutState::Running {
            self.verdict = self.judge(now, fleet);
        }
        self.pace = Some(Pace::noted(self.pace, now, sent(fleet)));
        let share = self.share(now, fleet, can_serve);
        if share != self.level.share {
            self.level = Level {
                share,
                since: now,
                before: *fleet,
            };
        }
        TrialStep {
            gate: Gate {
                service: self.order.service.clone(),
                to: self.order.to.clone(),
                barred: Arc::clone(&self.barred),
                order: self.order.revision,
                share,
                keeps_sessions: self.progress(now) < RISE_FROM,
                first_share: self.first_share(),
                staying: Arc::clone(&self.staying),
            },
            verdict: self.verdict,
        }
    }

    fn progress(&self, now: Time) -> f64 {
        let within = self.order.within.as_secs_f64().max(1.0);
        self.elapsed(now).as_secs_f64() / within
    }

    /// Time until it must be decided.
    fn left(&self, now: Time) -> Span {
        self.order.within - self.elapsed(now)
    }

    fn judge(&mut self, now: Time, fleet: &Evidence) -> Verdict {
        match self.fault(now, fleet) {
            Some(Fault::Failing) => return Verdict::Failing,
            Some(Fault::Slow) => return Verdict::Slow,
            None => {}
        }
        let carries_all = self.level.share >= 1.0;
        let is_alone = fleet.old.sum().out == 0 && carries_all;
        let has_lasted = now.since(self.level.since) >= CARRIES_ALL_FOR;
        let is_due = is_alone && has_lasted || self.left(now) <= COMPLETE_BEFORE;
        match is_due {
            true if is_suspect(fleet) => Verdict::Failing,
            true => Verdict::Good,
            false => Verdict::Open,
        }
    }

    /// What is wrong with the new version, if that is sure enough.
    ///
    /// While its share is small, slow answers must go on to count: waiting costs a few of them
    /// then. Once it carries much, each moment costs many.
    fn fault(&mut self, now: Time, fleet: &Evidence) -> Option<Fault> {
        let at_once = if self.has_spent(now, fleet) {
            self.fault_of_level(fleet, Needed::Suspicion)
        } else if self.progress(now) >= RISE_FROM {
            self.fault_of_level(fleet, Needed::Proof)
        } else {
            tells_failures(fleet, Needed::Proof).then_some(Fault::Failing)
        };
        at_once.or_else(|| self.doubt.lasting(now, fleet))
    }

    /// What is wrong with the new version by all that was seen, or by the failures that were
    /// seen at its present share.
    ///
    /// Guards against a version that turns bad late: hundreds of good answers from before
    /// make a tenth of bad ones look like a twentieth.
    fn fault_of_level(&self, fleet: &Evidence, needed: Needed) -> Option<Fault> {
        let present = Evidence {
            new: fleet.new.since(&self.level.before.new),
            ..*fleet
        };
        let by_all = fault_of(fleet, Counted::Told, needed);
        by_all.or_else(|| tells_failures(&present, needed).then_some(Fault::Failing))
    }

    /// Whether most of the allowed exposure is used up, by the rate of requests so far.
    fn has_spent(&self, now: Time, fleet: &Evidence) -> bool {
        let (new, old) = (fleet.new.sum().sent, fleet.old.sum().sent);
        let by_the_end = f64::from(new + old) / self.progress(now).clamp(0.05, 1.0);
        let allowed = self.limits.exposure * by_the_end + self.limits.allowance;
        f64::from(new) > SPENT_SHARE * allowed
    }

    /// Whether everything from now on fits into the allowed exposure, at the rate so far.
    ///
    /// Guards against a version that is bad under more load than there is: it answers well
    /// and is not taken back, and at a share that rose by its good answers it got more than
    /// twice of what operators allow a bad version. Nor may traffic that grows be reckoned by its mean:
    /// what comes last, when the new version has everything, is the fastest.
    fn fits_all(&self, now: Time, fleet: &Evidence) -> bool {
        let new = f64::from(fleet.new.sum().sent);
        let all = f64::from(sent(fleet));
        let elapsed = self.elapsed(now).as_secs_f64().max(1.0);
        let present = self.pace.map_or(0.0, |pace| pace.rate);
        let rate = (all / elapsed).max(present);
        let to_come = rate * self.left(now).as_secs_f64();
        let allowed = self.limits.exposure * (all + to_come) + self.limits.allowance;
        new + to_come <= COUNTED_SHARE * allowed
    }

    fn first_share(&self) -> f64 {
        self.limits.exposure * FIRST_SHARE_OF_BOUND
    }

    fn share(&self, now: Time, fleet: &Evidence, can_serve: f64) -> f64 {
        match self.state {
            RolloutState::Completed => return 1.0,
            RolloutState::Reverted => return 0.0,
            RolloutState::Running => {}
        }
        if self.verdict.is_bad() {
            return 0.0;
        }
        if now.since(self.since) < OPEN_AFTER {
            return 0.0;
        }
        let progress = self.progress(now);
        let is_proved = fleet.new.sum().answers() >= PROOF_ANSWERS || progress >= UNPROVED_FROM;
        let carries_all = self.level.share >= 1.0;
        let is_fit = is_proved && !is_suspect(fleet);
        let may_rise = progress >= RISE_FROM && is_fit && self.fits_all(now, fleet);
        let share = match carries_all || may_rise {
            true => 1.0,
            false => self.first_share(),
        };
        share.min(can_serve)
    }
}

/// Requests sent to either version.
fn sent(fleet: &Evidence) -> u32 {
    fleet.new.sum().sent + fleet.old.sum().sent
}

/// Whether the new version tells more failures than chance explains, though too few for a proof.
///
/// Guards against a bad version that is completed because its time is up: a fault of a rare kind of
/// request shows three or four times at a small share, a completed version cannot be taken back,
/// and callers run into it until the operators act. A good one that is taken back on such a
/// suspicion is only late.
fn is_suspect(fleet: &Evidence) -> bool {
    tells_failures(fleet, Needed::Suspicion)
}
