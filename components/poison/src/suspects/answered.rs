//! Contents that were answered whole of late, here.

use std::collections::{HashMap, VecDeque};

use types::prelude::*;

use crate::content::Content;

/// What was answered whole so lately does not end upstreams. Guards against a request that
/// many callers send alike: a rack that is lost has it running at three upstreams at once.
const WHOLE_FOR: Span = Span::from_secs(5);
/// Contents answered whole of late that are remembered.
const MAX_WHOLE: usize = 4_096;

/// Contents that were answered whole of late.
#[derive(Debug, Default)]
pub(crate) struct Whole {
    order: VecDeque<(Content, Time)>,
    last: HashMap<Content, Time>,
}

impl Whole {
    pub(crate) fn note(&mut self, now: Time, content: Content) {
        self.forget(now);
        self.order.push_back((content, now));
        self.last.insert(content, now);
    }

    pub(crate) fn forget(&mut self, now: Time) {
        while let Some((content, at)) = self.order.front().copied() {
            if now.since(at) < WHOLE_FOR && self.order.len() < MAX_WHOLE {
                return;
            }
            self.order.pop_front();
            if self.last.get(&content) == Some(&at) {
                self.last.remove(&content);
            }
        }
    }

    /// Until when a content is clear, if it was answered whole less than [`WHOLE_FOR`] before a
    /// moment, or since.
    pub(crate) fn clears(&self, content: &Content, at: Time) -> Option<Time> {
        let whole_at = self.last.get(content).copied();
        let clears = whole_at.filter(|whole_at| at.since(*whole_at) < WHOLE_FOR);
        clears.map(|whole_at| whole_at.max(at))
    }
}
