//! Which side of a roll-out a request counts for.
//!
//! A connection that breaks counts against a version a moment later than what an upstream tells
//! itself: it may be the upstream's end, and that may be a request's doing.

use std::sync::Arc;

use dispatch::{ArmCounts, Choice, Evidence, UpstreamIndex, kind_of};
use poison::UpstreamRun;
use types::prelude::*;

use crate::exchange::Request;
use crate::shared::Shared;

/// A request that ends its upstreams is barred within this of the first end: its caller comes again
/// within a second, and it takes three.
const QUARANTINE_WAIT: Span = Span::from_secs(2);
/// Breaks that wait to be counted at most; beyond it they count at once.
const MAX_BROKEN_ANSWERS: usize = 1_024;

/// Which roll-out a request counts for, and on which side.
#[derive(Debug, Clone)]
pub(crate) struct Arm {
    service: Arc<str>,
    order: u64,
    is_new: bool,
    /// Place of the request's kind.
    kind: usize,
    /// Whether how it ends says anything new of the version.
    pub(crate) is_evidence: bool,
}

/// An answer that broke off, not counted yet.
#[derive(Debug)]
pub(crate) struct BrokenAnswer {
    arm: Arm,
    index: UpstreamIndex,
    upstream: UpstreamRun,
    due_at: Time,
}

impl Arm {
    /// Of a request that is about to be sent; nothing where there is no roll-out.
    pub(crate) fn for_request<T>(
        shared: &Shared<T>,
        choice: &Choice,
        request: &Request<T>,
        is_evidence: bool,
    ) -> Option<Self> {
        let upstreams = shared.upstreams.borrow();
        let spec = upstreams.spec(choice.index)?;
        let plan = shared.plan.borrow();
        let gate = plan.gate(&spec.service)?;
        Some(Self {
            service: spec.service.clone(),
            order: gate.order,
            is_new: spec.version == gate.to,
            kind: kind_of(request.route.repeat),
            is_evidence,
        })
    }

    pub(crate) fn count<T>(&self, shared: &Shared<T>, f: impl FnOnce(&mut ArmCounts)) {
        let change = |evidence: &mut Evidence| match self.is_new {
            true => f(&mut evidence.new.kinds[self.kind]),
            false => f(&mut evidence.old.kinds[self.kind]),
        };
        shared
            .seen
            .update_evidence(&self.service, self.order, change);
    }
}

impl<T> Shared<T> {
    /// Notes an answer that broke off at an upstream; counted by [`Self::count_breaks`].
    pub(crate) fn note_broken_answer(&self, arm: Arm, index: UpstreamIndex) {
        let upstream = self.upstreams.borrow().last_seen(index);
        let mut broken_answers = self.broken_answers.borrow_mut();
        match upstream {
            Some(upstream) if broken_answers.len() < MAX_BROKEN_ANSWERS => {
                broken_answers.push(BrokenAnswer {
                    arm,
                    index,
                    upstream: upstream.run(),
                    due_at: self.now() + QUARANTINE_WAIT,
                })
            }
            _ => arm.count(self, |counts| counts.broken += 1),
        }
    }

    /// Counts answers that broke off: of an upstream that lives at once, of one that ended if no
    /// barred content explains it.
    ///
    /// Guards against a good version that is taken back since a request that ends upstreams came
    /// by its few ones: each end breaks some dozen answers, and does so again a moment later.
    pub(crate) fn count_broken_answers(&self) {
        let now = self.now();
        let mut broken_answers = self.broken_answers.borrow_mut();
        let is_decided = |broken: &BrokenAnswer| {
            let is_probing = self.probing.borrow().contains(&broken.index);
            let has_ended = self.runs.borrow().has_ended(broken.index);
            now.has_reached(broken.due_at) || !(is_probing || has_ended)
        };
        let decided = broken_answers.extract_if(.., |broken| is_decided(broken));
        for BrokenAnswer { arm, upstream, .. } in decided {
            if !self.cfg.suspects.lock().explains(&upstream) {
                arm.count(self, |counts| counts.broken += 1);
            }
        }
    }
}
