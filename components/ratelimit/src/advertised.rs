//! Rate limits as advertised by upstreams and as exchanged between daemons.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Identifies one instance of an upstream's program, by a hash of its id and start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceKey(pub u32);

/// What an answer advertises about its upstream's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Advertised {
    /// No limit.
    #[default]
    Nothing,
    /// Limit in requests a second, from all daemons together.
    Limit(Rate),
    /// An invalid limit, which neither sets nor lifts one.
    Invalid,
}

/// Change of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// A limit was set where there was none.
    Set(Rate),
    /// The limit has a new value.
    Changed(Rate),
    /// The limit was lifted.
    Lifted {
        /// How long the limit had its last value at this daemon.
        after: Span,
        /// Requests that this daemon sent to the upstream while it was limited.
        sent: u64,
    },
}

/// An upstream's limit as daemons exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Advertisement {
    /// Instance of the upstream that has the limit.
    pub instance: InstanceKey,
    /// Version, raised by each change; the highest one wins.
    pub version: u32,
    /// Requests a second; `None` for a lifted limit.
    pub rate: Option<f32>,
    /// Time since an answer last confirmed it, in ms.
    pub age_ms: u16,
}

impl Advertisement {
    /// Returns the limit, if it is finite and positive.
    pub(crate) fn rate(&self) -> Option<Rate> {
        let rate = self.rate.map(f64::from);
        rate.filter(|rate| rate.is_finite() && *rate > 0.0)
            .map(Rate)
    }

    /// Whether the limit is either valid or lifted.
    pub(crate) fn is_valid(&self) -> bool {
        self.rate.is_none() || self.rate().is_some()
    }
}
