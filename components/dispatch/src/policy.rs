//! What decides, and by which bounds.
//!
//! The defaults are what serves. A policy file changes single entries, so that what each
//! mechanism is worth can be measured on the same build: with one of them off, on the same
//! days.

use poison::PoisonPolicy;
use serde::{Deserialize, Serialize};

/// Part of a prompt's reading time that each stream beside it is charged with. An engine
/// reads in chunks and makes one token of every stream between two of them; a chunk of a
/// long prompt takes the largest model 0.4 s, so an event of six tokens takes 2.4 s where
/// 1.5 s are allowed. Long prompts thus gather where few streams run, and streams avoid
/// where long prompts wait.
const HARM_SHARE: f64 = 0.08;
/// Times that the silence of an upstream with work counts as cost.
///
/// Guards against an engine that stands still: it reads a long prompt of another daemon's, or
/// its host has gone dark. What is sent there waits as long as its streams do, and no backlog
/// that is known here says so. Twice as long as it was silent, since it may be silent as long again.
const SILENCE_SHARE: f64 = 2.0;
/// Extra cost of another failure domain, in ms: its round trip of a few, and bytes between failure
/// domains are paid for. With far less, requests leave their failure domain for little; with far more,
/// the load of one is no longer evened out by the others.
const FAR_MS: f64 = 120.0;
/// Extra cost of reading a thousand shared tokens that another engine holds, in ms: besides
/// the time it is paid for, some 4% of the price of an answer to a long prompt, and it
/// displaces what the engine held.
const READ_AGAIN_MS_PER_1000: f64 = 50.0;
/// Part of the bound on repeats that is used: counts of daemons that just restarted are lost, and
/// the step's width blurs the window by a twentieth.
const USED_SHARE: f64 = 0.93;
/// Part of that which choosing a larger model may use; the rest stays for failures.
///
/// Guards against a crash of many engines that uses up the choice: the repeats of what it
/// broke stand in the window for all of its length, and with 0.8 of 0.85 a seventh of all unsure
/// answers were kept for eight seconds after half of 112 engines had crashed.
const CHOICE_SHARE: f64 = 0.95;

/// What decides, and by which bounds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Which model answers.
    pub cascade: CascadePolicy,
    /// Which upstream gets a request.
    pub placing: PlacingPolicy,
    /// How much of the fleet's budget of repeats is used.
    pub repeats: RepeatPolicy,
    /// What is done about upstreams and requests that are late.
    pub timing: TimingPolicy,
    /// When a request that ends its upstreams is barred.
    pub poison: PoisonPolicy,
}

/// Which model answers. Confidences are of 0 to 100; above 100 none is reached.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CascadePolicy {
    /// An answer of the smallest model is kept from this confidence on.
    pub keep_from: u8,
    /// An answer of a model in between is kept from this confidence on.
    pub keep_middle_from: u8,
    /// From this confidence on the next size is asked, below it the largest.
    pub next_size_from: u8,
    /// Where the largest would be late a model in between is asked from this confidence on.
    pub middle_from: u8,
    /// Part of the objective within which a larger model's first event must be expected.
    pub in_time_share: f64,
}

/// Which upstream gets a request.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacingPolicy {
    /// Prompts go where others that begin alike went.
    pub uses_homes: bool,
    /// What other daemons have out counts.
    pub counts_others: bool,
    /// Upstreams that fail are set aside.
    pub sets_aside: bool,
    /// Part of a prompt's reading time that each stream beside it is charged with.
    pub harm_share: f64,
    /// Times that the silence of an upstream with work counts as cost.
    pub silence_share: f64,
    /// Extra cost of another failure domain, in ms.
    pub far_ms: f64,
    /// Extra cost of reading a thousand shared tokens once more, in ms.
    pub read_again_ms_per_1000: f64,
}

/// How much of the fleet's budget of repeats is used.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatPolicy {
    /// Part of the budget that is used at all.
    pub used_share: f64,
    /// Part of that which asking a larger model may use; the rest stays for failures.
    pub choice_share: f64,
}

/// What is done about upstreams and requests that are late.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingPolicy {
    /// A silent upstream is left for another.
    pub leaves_silent: bool,
    /// Engines are told which requests go first.
    pub ranks: bool,
    /// A caller that comes before the first configuration waits a moment for it.
    pub waits_for_configuration: bool,
}

impl Default for CascadePolicy {
    /// The bounds and where they come from stand with [`crate::Cascade`].
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
            sets_aside: true,
            harm_share: HARM_SHARE,
            silence_share: SILENCE_SHARE,
            far_ms: FAR_MS,
            read_again_ms_per_1000: READ_AGAIN_MS_PER_1000,
        }
    }
}

impl Default for RepeatPolicy {
    fn default() -> Self {
        Self {
            used_share: USED_SHARE,
            choice_share: CHOICE_SHARE,
        }
    }
}

impl Default for TimingPolicy {
    fn default() -> Self {
        Self {
            leaves_silent: true,
            ranks: true,
            waits_for_configuration: true,
        }
    }
}

/// An entry that cannot be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{entry}: {value} is out of range; {right}")]
pub struct PolicyError {
    entry: &'static str,
    value: f64,
    right: &'static str,
}

impl Policy {
    /// Checks every entry that a type does not check.
    ///
    /// # Errors
    /// Names the first entry that cannot be used, and what would be right.
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
    most: f64,
    right: &'static str,
) -> Result<(), PolicyError> {
    match (0.0..=most).contains(&value) {
        true => Ok(()),
        false => Err(PolicyError {
            entry,
            value,
            right,
        }),
    }
}
