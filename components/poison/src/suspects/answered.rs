//! Contents that this daemon got complete answers to recently.

use std::collections::{HashMap, VecDeque};

use types::prelude::*;

use crate::content::Content;

/// A content that was answered this recently does not crash upstreams. Without this rule, a request
/// that many callers send alike would be quarantined if it was in flight at three upstreams of a
/// lost rack.
const CLEARED_FOR: Span = Span::from_secs(5);
/// Answers remembered at most.
const MAX_ANSWERED: usize = 4_096;

/// Contents that were answered completely within [`CLEARED_FOR`].
#[derive(Debug, Default)]
pub(crate) struct RecentlyAnswered {
    order: VecDeque<(Content, Time)>,
    last_answered: HashMap<Content, Time>,
}

impl RecentlyAnswered {
    pub(crate) fn record(&mut self, now: Time, content: Content) {
        self.expire(now);
        self.order.push_back((content, now));
        self.last_answered.insert(content, now);
    }

    pub(crate) fn expire(&mut self, now: Time) {
        while let Some((content, at)) = self.order.front().copied() {
            if now.since(at) < CLEARED_FOR && self.order.len() < MAX_ANSWERED {
                return;
            }
            self.order.pop_front();
            if self.last_answered.get(&content) == Some(&at) {
                self.last_answered.remove(&content);
            }
        }
    }

    /// Time up to which a content is cleared of crashes, if it was answered less than
    /// [`CLEARED_FOR`] before `at`, or later.
    pub(crate) fn cleared_until(&self, content: &Content, at: Time) -> Option<Time> {
        let answered_at = self.last_answered.get(content).copied();
        let clearing = answered_at.filter(|answered_at| at.since(*answered_at) < CLEARED_FOR);
        clearing.map(|answered_at| answered_at.max(at))
    }
}
