//! The arm of a rollout, old or new version, that a request counts for.
//!
//! A broken connection counts against a version a moment later than a failure that the upstream
//! reports: it may be a crash, and the crash may be caused by the request's content.

use std::sync::Arc;

use dispatch::{ArmCounts, Choice, Evidence, UpstreamIndex, request_kind};
use poison::UpstreamInstance;
use types::prelude::*;

use crate::exchange::Request;
use crate::shared::Shared;

/// A content that crashes its upstreams is quarantined within this of the first crash: three
/// crashes are needed, and its caller retries within a second.
const QUARANTINE_WAIT: Span = Span::from_secs(2);
/// Bounds the broken answers that wait to be counted; any beyond it count at once.
const MAX_BROKEN_ANSWERS: usize = 1_024;

/// The rollout and arm that a request counts for.
#[derive(Debug, Clone)]
pub(crate) struct Arm {
    service: Arc<str>,
    order: u64,
    is_new: bool,
    /// Index of the request's kind in the counts.
    kind: usize,
    /// Whether the request's result is new evidence on the version.
    pub(crate) is_evidence: bool,
}

/// An answer that broke off and is not counted yet.
#[derive(Debug)]
pub(crate) struct BrokenAnswer {
    arm: Arm,
    index: UpstreamIndex,
    upstream: UpstreamInstance,
    due_at: Time,
}

impl Arm {
    /// Returns the arm of a request that is about to be sent; none where no rollout is in progress.
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
            kind: request_kind(request.route.retry),
            is_evidence,
        })
    }

    pub(crate) fn count<T>(&self, shared: &Shared<T>, f: impl FnOnce(&mut ArmCounts)) {
        let change = |evidence: &mut Evidence| match self.is_new {
            true => f(&mut evidence.new.kinds[self.kind]),
            false => f(&mut evidence.old.kinds[self.kind]),
        };
        shared
            .observed
            .update_evidence(&self.service, self.order, change);
    }
}

impl<T> Shared<T> {
    /// Records an answer that broke off at an upstream, for [`Self::count_broken_answers`].
    pub(crate) fn note_broken_answer(&self, arm: Arm, index: UpstreamIndex) {
        let upstream = self.upstreams.borrow().last_seen(index);
        let mut broken_answers = self.broken_answers.borrow_mut();
        match upstream {
            Some(upstream) if broken_answers.len() < MAX_BROKEN_ANSWERS => {
                broken_answers.push(BrokenAnswer {
                    arm,
                    index,
                    upstream: upstream.instance(),
                    due_at: self.now() + QUARANTINE_WAIT,
                })
            }
            _ => arm.count(self, |counts| counts.broken += 1),
        }
    }

    /// Counts answers that broke off: at once if the upstream is alive, and if it crashed only when
    /// no quarantined content explains the crash.
    ///
    /// A good version must not be reverted because a request that crashes upstreams reached its few
    /// ones: each such crash breaks some dozen answers, and the next follows a moment later.
    pub(crate) fn count_broken_answers(&self) {
        let now = self.now();
        let mut broken_answers = self.broken_answers.borrow_mut();
        let is_decided = |broken: &BrokenAnswer| {
            let is_probing = self.probing.borrow().contains(&broken.index);
            let has_ended = self.attempts.borrow().has_crashed(broken.index);
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
