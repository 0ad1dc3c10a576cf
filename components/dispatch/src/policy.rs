//! Settings of the decisions in this crate.
//!
//! A policy file may override single entries of the defaults, so that a mechanism can be
//! switched off and compared on the same build under the same load.

use overload::OverloadPolicy;
use poison::PoisonPolicy;
use serde::{Deserialize, Serialize};

/// Share of a prompt's prefill time that is charged for each stream running beside it.
///
/// An engine prefills in chunks and makes one token of every stream between two of them. A chunk of
/// a long prompt takes the largest model 0.4 s, so an event of six tokens takes 2.4 s where 1.5 s
/// are allowed. The charge moves long prompts to engines with few streams, and streams away from
/// engines where long prompts wait.
const PREFILL_DELAY_SHARE: f64 = 0.08;
/// Factor by which the silence of an upstream with outstanding requests counts as cost.
///
/// A silent engine makes no progress: it prefills a long prompt of another daemon, or its host is
/// unreachable. A request sent there waits as long as its streams do, and no backlog known to this
/// daemon shows that. The factor is 2 since the upstream may stay silent for as long again.
const SILENCE_COST_FACTOR: f64 = 2.0;
/// Extra cost of an upstream in another failure domain, in ms.
///
/// The round trip takes a few ms, and traffic between failure domains is paid for. A much lower
/// cost sends requests out of their failure domain for little gain; a much higher one no longer
/// lets failure domains even out each other's load.
const CROSS_DOMAIN_COST_MS: f64 = 120.0;
/// Extra cost of prefilling a thousand shared tokens that another engine has cached, in ms.
///
/// Besides its time, a re-prefill costs some 4% of the price of an answer to a long prompt, and
/// evicts what the engine had cached.
const RE_PREFILL_COST_MS_PER_1000: f64 = 50.0;
/// Share of the retry budget that is used. The rest covers retries that arrive some time after they
/// were granted, and the width of a window step, which blurs the window by a twentieth.
const USED_BUDGET_SHARE: f64 = 0.93;
/// Share of the used budget that escalations to a larger model may take; the rest is reserved
/// for retries after failures.
///
/// The rest must be small, since after a crash of many engines the retries of the failed requests
/// count for the whole window and leave little budget for escalations. With 0.8 of 0.85, a seventh
/// of all low-confidence answers were kept for eight seconds after half of 112 engines had crashed.
const ESCALATION_BUDGET_SHARE: f64 = 0.95;

/// How long a silent run goes on beside the one that takes its place, in ms: an upstream that refuses
/// a request mostly does so by then.
const SILENT_OVERLAP_MS: u16 = 250;
/// How long a draft is kept beside the larger model's run, in ms: it occupies a slot.
const DRAFT_OVERLAP_MS: u16 = 50;
/// Longest time for which two upstreams may have a request, in ms: two engines that work on the same
/// stream waste the work of one.
const MAX_OVERLAP_MS: f64 = 300.0;

/// Settings of the decisions in this crate.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Which model answers.
    pub cascade: CascadePolicy,
    /// Which upstream gets a request.
    pub placing: PlacingPolicy,
    /// How much of the fleet's retry budget is used.
    pub repeats: RetryPolicy,
    /// How late upstreams and requests are handled.
    pub timing: TimingPolicy,
    /// When a request content that crashes upstreams is quarantined.
    pub poison: PoisonPolicy,
    /// Whether requests to congested plain services are refused.
    pub overload: OverloadPolicy,
}

/// Settings for the choice of the model. Confidences range from 0 to 100; a bound above 100 is
/// never reached.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CascadePolicy {
    /// Confidence from which an answer of the smallest model is kept.
    pub keep_from: u8,
    /// Confidence from which an answer of a medium-sized model is kept.
    pub keep_middle_from: u8,
    /// Confidence from which the next larger model is asked; below it the largest is.
    pub next_size_from: u8,
    /// Confidence from which a medium-sized model is asked when the largest would be late.
    pub middle_from: u8,
    /// Share of the objective within which a larger model's first event must be expected.
    pub in_time_share: f64,
}

/// Settings for the choice of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacingPolicy {
    /// Whether prompts are sent where earlier ones with the same prefix went (cache affinity).
    pub uses_homes: bool,
    /// Whether the outstanding requests of other daemons count.
    pub counts_others: bool,
    /// Whether the load of plain services with few slots is evened out, see the crate `balance`.
    pub evens_load: bool,
    /// Whether failing upstreams are ejected.
    pub sets_aside: bool,
    /// Share of a prompt's prefill time that is charged for each stream running beside it.
    pub harm_share: f64,
    /// Factor by which the silence of an upstream with outstanding requests counts as cost.
    pub silence_share: f64,
    /// Extra cost of an upstream in another failure domain, in ms.
    pub far_ms: f64,
    /// Extra cost of prefilling a thousand shared tokens again, in ms.
    pub read_again_ms_per_1000: f64,
    /// Whether slow engines get fewer requests.
    pub uses_pace: bool,
}

/// Settings for the use of the fleet's retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Share of the budget that is used at all.
    pub used_share: f64,
    /// Share of the used budget that escalations may take; the rest is reserved for failures.
    pub choice_share: f64,
}

/// Settings for late upstreams and requests.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingPolicy {
    /// Whether a request leaves a silent upstream for another.
    pub leaves_silent: bool,
    /// How long a silent run goes on beside the one that takes its place, in ms, unless that begins
    /// before.
    pub silent_overlap_ms: u16,
    /// How long a draft is kept beside the larger model's run, in ms.
    pub draft_overlap_ms: u16,
    /// Whether requests carry a rank by which engines decide which to process first.
    pub ranks: bool,
    /// Whether a request that arrives before the first configuration waits a moment for it.
    pub waits_for_configuration: bool,
}

impl Default for CascadePolicy {
    /// See [`crate::Cascade`] for the reasons behind these bounds.
    fn default() -> Self {
        Self {
            keep_from: 60,
            keep_middle_from: 30,
            next_size_from: 35,
            middle_from: 20,
            in_time_share: 0.8,
        }
    }
}

impl Default for PlacingPolicy {
    fn default() -> Self {
        Self {
            uses_homes: true,
            counts_others: true,
            evens_load: true,
            sets_aside: true,
            harm_share: PREFILL_DELAY_SHARE,
            silence_share: SILENCE_COST_FACTOR,
            far_ms: CROSS_DOMAIN_COST_MS,
            read_again_ms_per_1000: RE_PREFILL_COST_MS_PER_1000,
            uses_pace: true,
        }
    }
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            used_share: USED_BUDGET_SHARE,
            choice_share: ESCALATION_BUDGET_SHARE,
        }
    }
}

impl Default for TimingPolicy {
    fn default() -> Self {
        Self {
            leaves_silent: true,
            silent_overlap_ms: SILENT_OVERLAP_MS,
            draft_overlap_ms: DRAFT_OVERLAP_MS,
            ranks: true,
            waits_for_configuration: true,
        }
    }
}

/// A policy entry whose value is out of range.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{entry}: {value} is out of range; {allowed}")]
pub struct PolicyError {
    entry: &'static str,
    value: f64,
    allowed: &'static str,
}

impl Policy {
    /// Checks the range of every entry whose type allows invalid values.
    ///
    /// # Errors
    /// Names the first invalid entry and its allowed range.
    pub fn check(&self) -> Result<(), PolicyError> {
        let cascade = &self.cascade;
        let confidence = "a confidence is 0 to 100, 101 for never";
        check(
            "cascade.keep_from",
            cascade.keep_from.into(),
            101.0,
            confidence,
        )?;
        let entry = "cascade.keep_middle_from";
        check(entry, cascade.keep_middle_from.into(), 101.0, confidence)?;
        let entry = "cascade.next_size_from";
        check(entry, cascade.next_size_from.into(), 101.0, confidence)?;
        check(
            "cascade.middle_from",
            cascade.middle_from.into(),
            101.0,
            confidence,
        )?;
        let share = "a share of the objective is 0 to 100";
        check("cascade.in_time_share", cascade.in_time_share, 100.0, share)?;
        let placing = &self.placing;
        let harm = "a share of the reading time is 0 to 1";
        check("placing.harm_share", placing.harm_share, 1.0, harm)?;
        let silence = "the silence counts 0 to 100 times";
        check(
            "placing.silence_share",
            placing.silence_share,
            100.0,
            silence,
        )?;
        let ms = "a cost is 0 to 60000 ms";
        check("placing.far_ms", placing.far_ms, 60_000.0, ms)?;
        let entry = "placing.read_again_ms_per_1000";
        check(entry, placing.read_again_ms_per_1000, 60_000.0, ms)?;
        let part = "a part of the budget is 0 to 1";
        check("repeats.used_share", self.repeats.used_share, 1.0, part)?;
        check("repeats.choice_share", self.repeats.choice_share, 1.0, part)?;
        let timing = &self.timing;
        let overlap = "two upstreams may have a request for 0 to 300 ms";
        let entry = "timing.silent_overlap_ms";
        let silent_ms = timing.silent_overlap_ms.into();
        check(entry, silent_ms, MAX_OVERLAP_MS, overlap)?;
        let entry = "timing.draft_overlap_ms";
        let draft_ms = timing.draft_overlap_ms.into();
        check(entry, draft_ms, MAX_OVERLAP_MS, overlap)?;
        let poison = &self.poison;
        let chance = "a chance is 0 to 1";
        check("poison.chance", poison.chance, 1.0, chance)?;
        let hour = "a bar lasts 0 to 3600 s";
        check("poison.bar_s", poison.bar_s, 3_600.0, hour)
    }
}

fn check(
    entry: &'static str,
    value: f64,
    max: f64,
    allowed: &'static str,
) -> Result<(), PolicyError> {
    match (0.0..=max).contains(&value) {
        true => Ok(()),
        false => Err(PolicyError {
            entry,
            value,
            allowed,
        }),
    }
}
