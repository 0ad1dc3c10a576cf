//! Points in time and spans of time.
//!
//! Code that makes decisions never reads a clock; it is passed a [`Time`]. State stores points in
//! time (deadlines), never durations that are counted down. A [`Time`] is valid in one process only
//! and never sent to another host; messages carry an age or a remaining [`Span`] instead.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use serde_with::{DeserializeFromStr, SerializeDisplay};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in time on this process's monotonic clock, in microseconds since the clock's start.
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
    /// Start of the clock.
    pub const ZERO: Self = Self(0);
    /// Later than any other time: a deadline that never passes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the time passed since `earlier`; zero if that lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `deadline`; zero if it has passed.
    #[must_use]
    pub fn until(self, deadline: Self) -> Span {
        deadline.since(self)
    }

    /// Returns whether `deadline` has come.
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
    /// The empty span.
    pub const ZERO: Self = Self(0);

    /// Creates a span from microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a span from milliseconds; the longest span if they are more than that.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates a span from whole seconds; the longest span if they are more than that.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// Creates a span from seconds; negative and non-finite numbers become zero.
    #[must_use]
    pub fn from_secs_f64(secs: f64) -> Self {
        if secs.is_finite() && secs > 0.0 {
            Self((secs * MICROS_PER_SECOND as f64) as u64)
        } else {
            Self::ZERO
        }
    }

    /// Returns the span in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span in milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Converts to the standard library's type.
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Multiplies the span by `factor`; saturates at the maximum.
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

/// Milliseconds since 1970 on this host's wall clock, for display and for bills.
///
/// Never compared between hosts to decide what is newer, since their clocks may differ.
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

/// A reading of the host's monotonic clock that includes the time while the host was suspended.
///
/// [`std::time::Instant`] leaves that time out: whatever a daemon knew before its host was suspended
/// would look as recent afterwards as before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Reads the clock.
    ///
    /// # Panics
    /// If the operating system does not have this clock; Linux does.
    #[must_use]
    pub fn now() -> Self {
        let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self(since_boot.expect("a clock since boot").into())
    }

    /// Returns the time since an earlier reading, or zero if that one is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        self.0.saturating_sub(earlier.0).into()
    }
}

impl Sub<Duration> for BootInstant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

/// Reads the host's clocks. Held by code at the edges of the program, which takes in events and
/// serves probes; code that makes decisions is passed a [`Time`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: BootInstant,
}

impl Clock {
    /// Creates a clock whose present time is [`Time::ZERO`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: BootInstant::now(),
        }
    }

    /// Returns the present time of the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.at(BootInstant::now())
    }

    /// Returns this clock's time at a reading of the host's clock; [`Time::ZERO`] if that was before
    /// its start.
    #[must_use]
    pub fn at(&self, instant: BootInstant) -> Time {
        Time::ZERO + instant.since(self.start)
    }

    /// Returns the present time of the host's wall clock.
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
