//! Moments and spans.
//!
//! Decisions never read a clock: they are given a [`Time`]. State holds moments
//! (deadlines), never durations counted down. A [`Time`] is of one process only and
//! is never sent to another host; what travels is an age or a remaining [`Span`].

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_with::{DeserializeFromStr, SerializeDisplay};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A moment on this process's monotonic clock, in microseconds since its start.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The process's start.
    pub const ZERO: Self = Self(0);
    /// Later than any other moment: a deadline that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// How long ago `earlier` was; nothing if it lies ahead.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// How long until `deadline`; nothing if it has passed.
    #[must_use]
    pub fn until(self, deadline: Self) -> Span {
        deadline.since(self)
    }

    /// True once `deadline` has come.
    #[must_use]
    pub fn has_reached(self, deadline: Self) -> bool {
        self >= deadline
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Span(self.0))
    }
}

/// A length of time in microseconds, written `250ms` or `1m 30s`.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Span(pub u64);

impl Span {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// From microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// From milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// From whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * MICROS_PER_SECOND)
    }

    /// From seconds; negative and non-finite become nothing.
    #[must_use]
    pub fn from_secs_f64(secs: f64) -> Self {
        if secs.is_finite() && secs > 0.0 {
            Self((secs * MICROS_PER_SECOND as f64) as u64)
        } else {
            Self::ZERO
        }
    }

    /// In microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// In whole milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// In seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// For calls of the standard library.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// This many times as long.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.to_duration()))
    }
}

impl FromStr for Span {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text).map(Self::from)
    }
}

/// Milliseconds since 1970 by this host's calendar: for people and for bills.
///
/// Never compared between hosts to decide what is newer.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let moment = UNIX_EPOCH + Duration::from_millis(self.0);
        write!(f, "{}", humantime::format_rfc3339_seconds(moment))
    }
}

impl FromStr for WallTime {
    type Err = humantime::TimestampError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let moment = humantime::parse_rfc3339_weak(text)?;
        let since = moment.duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Self(u64::try_from(since.as_millis()).unwrap_or(u64::MAX)))
    }
}

/// Reads the host's clocks. Only threads at the edges hold one.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts at [`Time::ZERO`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present moment.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(Span::from(self.start.elapsed()).as_micros())
    }

    /// The present date.
    #[must_use]
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
