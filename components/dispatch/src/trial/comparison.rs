//! Whether a new version is worse than the old one, by the fleet's evidence.
//!
//! Both versions are compared over the same time, each kind of request with its own. What an
//! upstream itself tells as a failure counts at once. Connections that break and answers
//! that are slow come in bunches, when one upstream crashes or reads a long prompt, so they
//! count only if they go on.

use types::prelude::*;

use crate::evidence::{Arm, ArmCounts, Evidence, KINDS};

/// Fewest bad or slow answers for a judgement: five by chance at a failure rate of 2% and
/// 40 answers have a probability under 0.002.
const FEWEST: u32 = 5;
/// Excess of the share of bad answers over the old version's.
const BAD_EXCESS: f64 = 0.06;
/// Excess of the share of slow answers: more of them are chance, as prompts wait for others.
const SLOW_EXCESS: f64 = 0.15;
/// Standard errors between the versions: 3.5 is one false alarm in some thousand looks.
const ERRORS: f64 = 3.5;
/// The same on the scale of square roots, on which counts as small as five are spread like
/// larger ones. The errors above are too small for them: five bad answers where one is
/// expected lie 3.8 of them apart and come up once in 200 looks. On this scale that is 2.4.
const ROOT_ERRORS: f64 = 2.8;
/// Standard errors that make a suspicion. With 2.0 and without a least excess three of
/// sixteen good roll-outs were taken back.
const SUSPICION: f64 = 2.5;
/// Part of the excess that a proof needs, for a suspicion.
const SUSPICION_EXCESS: f64 = 0.5;
/// Fewest bad or slow answers for a suspicion.
const SUSPICION_FEWEST: f64 = 3.0;
/// A fault that may be a moment's is looked at anew from here on: by then the reports of
/// all daemons on that moment have been added up.
const SETTLED_AFTER: Span = Span::from_millis(600);
/// New answers of the new version that decide whether it lasted.
const LASTING_ANSWERS: u32 = 8;
/// Bad ones among them at least.
const LASTING_FEWEST: f64 = 2.0;
/// Standard errors between the versions in this second look; after a proof in the first
/// the two together are one false alarm in some ten thousand.
const LASTING_ERRORS: f64 = 2.0;

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// It fails more often than the old one.
    Failing,
    /// It is several times slower.
    Slow,
}

/// How sure a judgement must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Needed {
    /// Most of the allowed exposure is still there.
    Proof,
    /// It is used up.
    Suspicion,
    /// After a proof, for what came since.
    Lasting,
}

/// Which bad answers count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Counted {
    /// Failures that upstreams told themselves.
    Told,
    /// These, and answers that broke off.
    All,
}

impl Counted {
    fn failed(self, counts: &ArmCounts) -> Part {
        let failed = match self {
            Self::Told => counts.bad,
            Self::All => counts.bad + counts.broken,
        };
        Part::new(failed, counts.answers())
    }
}

/// What is wrong with the new version, if it is as sure as needed.
pub(super) fn fault_of(fleet: &Evidence, counted: Counted, needed: Needed) -> Option<Fault> {
    let failed = |counts: &ArmCounts| counted.failed(counts);
    let slow = |counts: &ArmCounts| Part::new(counts.slow, counts.begun);
    if is_worse(fleet, failed, BAD_EXCESS, needed) {
        return Some(Fault::Failing);
    }
    let has_old = fleet.old.sum().begun > 0;
    // A suspicion is half as much as a proof; of slow answers that much is made by prompts
    // that new upstreams do not hold yet, and no bad version is slow on so few.
    let least = match needed {
        Needed::Suspicion => SLOW_EXCESS / SUSPICION_EXCESS,
        Needed::Proof | Needed::Lasting => SLOW_EXCESS,
    };
    let is_slower = has_old && is_worse(fleet, slow, least, needed);
    is_slower.then_some(Fault::Slow)
}

/// Whether the new version itself tells clearly more failures.
pub(super) fn tells_failures(fleet: &Evidence, needed: Needed) -> bool {
    let told = |counts: &ArmCounts| Counted::Told.failed(counts);
    is_worse(fleet, told, BAD_EXCESS, needed)
}

fn is_worse(
    fleet: &Evidence,
    part: impl Fn(&ArmCounts) -> Part,
    least: f64,
    needed: Needed,
) -> bool {
    let excess = Excess::of(&fleet.new, &fleet.old, part);
    excess.iter().any(|excess| excess.is_there(least, needed))
}

/// A fault that was seen, and may be over.
#[derive(Debug, Clone, Copy)]
struct Seen {
    look_at: Time,
    /// What the fleet had seen when the second look began.
    before: Option<Evidence>,
}

/// Faults that may be a moment's.
///
/// Guards against a good version that is taken back because one of its few upstreams
/// crashed or read a long prompt: all of its answers of that moment break or are slow, and
/// a test that takes each for an independent one is sure after six of them. Such a fault
/// must show again in the answers that come after it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Doubt {
    /// Evidence up to here was looked at and found to be a moment's.
    over: Evidence,
    seen: Option<Seen>,
}

impl Doubt {
    /// What is wrong with the new version, once that lasts.
    pub(super) fn lasting(&mut self, now: Time, fleet: &Evidence) -> Option<Fault> {
        let Some(seen) = &mut self.seen else {
            let is_there =
                fault_of(&fleet.since(&self.over), Counted::All, Needed::Proof).is_some();
            self.seen = is_there.then_some(Seen {
                look_at: now + SETTLED_AFTER,
                before: None,
            });
            return None;
        };
        if now < seen.look_at {
            return None;
        }
        let since = fleet.since(seen.before.get_or_insert(*fleet));
        if since.new.sum().answers() < LASTING_ANSWERS {
            return None;
        }
        let fault = fault_of(&since, Counted::All, Needed::Lasting);
        if fault.is_none() {
            self.over = *fleet;
            self.seen = None;
        }
        fault
    }
}

/// A part of some answers.
#[derive(Debug, Clone, Copy)]
struct Part {
    part: f64,
    all: f64,
}

impl Part {
    fn new(part: u32, all: u32) -> Self {
        Self {
            part: f64::from(part),
            all: f64::from(all),
        }
    }
}

/// How much more of something the new version has than the old one's answers lead to expect,
/// each kind of request compared with its own (the test of Mantel and Haenszel).
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    seen: f64,
    expected: f64,
    variance: f64,
    answers: f64,
}

impl Excess {
    /// Of each kind of request alone, and of all together.
    fn of(new: &Arm, old: &Arm, part: impl Fn(&ArmCounts) -> Part) -> [Self; KINDS + 1] {
        let mut excess = [Self::default(); KINDS + 1];
        for (kind, (new, old)) in new.kinds.iter().zip(&old.kinds).enumerate() {
            excess[kind].add(part(new), part(old));
            excess[KINDS].add(part(new), part(old));
        }
        excess
    }

    fn add(&mut self, new: Part, old: Part) {
        let all = new.all + old.all;
        self.seen += new.part;
        self.answers += new.all;
        // Without answers of the old version nothing bad is expected.
        if old.all == 0.0 {
            return;
        }
        let part = new.part + old.part;
        self.expected += new.all * part / all;
        let rest = (all - part) / (all * all * (all - 1.0).max(1.0));
        self.variance += new.all * old.all * part * rest;
    }

    /// Whether there is more than `least` of it, and more than by chance.
    fn is_there(&self, least: f64, needed: Needed) -> bool {
        let above = self.seen - self.expected;
        match needed {
            Needed::Proof => {
                let enough = self.seen >= f64::from(FEWEST) && above > least * self.answers;
                let roots = 2.0 * (self.seen.sqrt() - self.expected.sqrt());
                enough && above > ERRORS * self.variance.sqrt() && roots > ROOT_ERRORS
            }
            Needed::Suspicion => {
                let least = SUSPICION_EXCESS * least * self.answers;
                let enough = self.seen >= SUSPICION_FEWEST && above > least;
                enough && above > SUSPICION * self.variance.sqrt()
            }
            Needed::Lasting => {
                let enough = self.seen >= LASTING_FEWEST && above > least * self.answers;
                enough && above > LASTING_ERRORS * self.variance.sqrt()
            }
        }
    }
}
