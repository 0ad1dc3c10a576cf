//! Exponentially decaying averages.

use std::collections::VecDeque;

use types::prelude::*;

/// Updates that a window holds at most.
const MAX_SAMPLES: usize = 16;

/// Events a second, as a decaying average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    /// Events since the last update.
    pending: u32,
    per_s: f64,
}

impl DecayingRate {
    pub(crate) fn count(&mut self, events: u32) {
        self.pending = self.pending.saturating_add(events);
    }

    /// Adds the events since the last update; `elapsed` is the time since then.
    pub(crate) fn update(&mut self, elapsed: Span, time_constant: Span) {
        let events = f64::from(std::mem::take(&mut self.pending));
        let secs = elapsed.as_secs_f64();
        let measured = events / secs.max(f64::MIN_POSITIVE);
        self.per_s += (measured - self.per_s) * weight(elapsed, time_constant);
    }

    pub(crate) fn per_s(self) -> f64 {
        self.per_s
    }
}

/// Events a second in the last second.
///
/// Rejections are counted so, since a decaying average of many would show some for seconds after the
/// last.
#[derive(Debug, Clone, Default)]
pub(crate) struct WindowRate {
    pending: u32,
    /// Time and number of events of each update.
    samples: VecDeque<(Time, u32)>,
    sum: u32,
}

impl WindowRate {
    const LENGTH: Span = Span::from_secs(1);

    pub(crate) fn count(&mut self, events: u32) {
        self.pending = self.pending.saturating_add(events);
    }

    pub(crate) fn update(&mut self, now: Time) {
        let events = std::mem::take(&mut self.pending);
        self.samples.push_back((now, events));
        while let Some((at, _)) = self.samples.front()
            && (now.since(*at) >= Self::LENGTH || self.samples.len() > MAX_SAMPLES)
        {
            self.samples.pop_front();
        }
        let events = self.samples.iter().map(|(_, events)| *events);
        self.sum = events.fold(0, u32::saturating_add);
    }

    pub(crate) fn per_s(&self) -> f64 {
        f64::from(self.sum) / Self::LENGTH.as_secs_f64()
    }
}

/// Share of a decaying average that a measurement over `elapsed` replaces.
pub(crate) fn weight(elapsed: Span, time_constant: Span) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
