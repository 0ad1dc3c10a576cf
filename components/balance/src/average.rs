//! Time-average of one daemon's requests in flight at an upstream.

use types::prelude::*;

/// Time constant of the average: longer than the interval of a daemon's reports, so that no request
/// falls between two of them.
const TIME_CONSTANT: Span = Span::from_millis(500);

/// Exponential time-average of a number of requests in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Average {
    value: f64,
    in_flight: u32,
    since: Time,
}

impl Average {
    /// Records that the number of requests in flight changed.
    pub fn set(&mut self, now: Time, in_flight: u32) {
        self.value = self.get(now);
        self.in_flight = in_flight;
        self.since = now;
    }

    /// Returns the average at a time.
    #[must_use]
    pub fn get(&self, now: Time) -> f64 {
        let age = now.since(self.since).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        let weight = (-age).exp();
        self.value * weight + f64::from(self.in_flight) * (1.0 - weight)
    }
}
