//! Answers on a rollout that have not begun yet.
//!
//! An answer is slow once it has not begun for several times the expected time. It is counted then,
//! not when it begins: a version would look fast for as long as its slow answers are outstanding,
//! and those that their callers give up never begin.

use std::collections::BTreeMap;

use dispatch::{Load, UpstreamIndex, slow_after};
use types::prelude::*;

use crate::arm::Arm;
use crate::shared::Shared;

/// When an awaited answer becomes slow; the number tells apart those of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AwaitedKey {
    slow_from: Time,
    number: u64,
}

/// An answer that has not begun.
#[derive(Debug)]
struct Awaited {
    arm: Arm,
    index: UpstreamIndex,
    sent_at: Time,
}

/// Answers that have not begun and are not counted as slow.
#[derive(Debug, Default)]
pub(crate) struct AwaitedAnswers {
    by_key: BTreeMap<AwaitedKey, Awaited>,
    next_number: u64,
}

impl AwaitedAnswers {
    /// Adds the answer to a request that is being sent.
    pub(crate) fn add(
        &mut self,
        now: Time,
        arm: &Arm,
        index: UpstreamIndex,
        load: &Load,
    ) -> AwaitedKey {
        let key = AwaitedKey {
            slow_from: now + slow_after(load),
            number: self.next_number,
        };
        self.next_number += 1;
        let awaited = Awaited {
            arm: arm.clone(),
            index,
            sent_at: now,
        };
        self.by_key.insert(key, awaited);
        key
    }

    /// Removes an answer; returns whether it was not counted as slow.
    pub(crate) fn remove(&mut self, key: AwaitedKey) -> bool {
        self.by_key.remove(&key).is_some()
    }

    /// Takes the answers that are slow by now.
    fn take_slow(&mut self, now: Time, is_slow: impl Fn(&Awaited) -> bool) -> Vec<Arm> {
        let due = AwaitedKey {
            slow_from: now,
            number: u64::MAX,
        };
        let slow = self
            .by_key
            .extract_if(..=due, |_, awaited| is_slow(awaited));
        slow.map(|(_, awaited)| awaited.arm).collect()
    }
}

impl<T> Shared<T> {
    /// Counts awaited answers that have become slow.
    ///
    /// Where nothing has arrived from the upstream since the request was sent, it may have crashed
    /// or be cut off, which is no slowness.
    pub(crate) fn count_slow_answers(&self) {
        let now = self.now();
        let upstreams = self.upstreams.borrow();
        let is_heard = |awaited: &Awaited| {
            let silent = upstreams.silent_for(now, awaited.index, awaited.sent_at);
            silent < now.since(awaited.sent_at)
        };
        let slow = self.awaited.borrow_mut().take_slow(now, is_heard);
        for arm in slow {
            arm.count(self, |counts| counts.record_slow_answer());
        }
    }
}
