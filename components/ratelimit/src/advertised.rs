//! What an answer says of its upstream's rate limit, and the form in which daemons exchange it.

use serde::{Deserialize, Serialize};
use types::prelude::*;

/// One run of an upstream's program, as a hash of its id and start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u32);

/// What an answer says of its upstream's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Advertised {
    /// No limit.
    #[default]
    Nothing,
    /// Requests a second from all daemons together.
    Limit(Rate),
    /// A limit that cannot be read; says nothing either way.
    Invalid,
}

/// What became of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// A limit where there was none.
    Named(Rate),
    /// Another limit than before.
    Changed(Rate),
    /// No limit any more.
    Lifted {
        /// For so long it was known here.
        after: Span,
        /// Requests that this daemon sent to the upstream meanwhile.
        sent: u64,
    },
}

/// An upstream's limit as daemons exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Advertisement {
    /// Whose.
    pub run: RunKey,
    /// Raised by each change; the highest one holds.
    pub version: u32,
    /// Requests a second; none for a limit that was lifted.
    pub rate: Option<f32>,
    /// How long ago an answer said so.
    pub age_ms: u16,
}

impl Advertisement {
    /// The limit, if it is a proper one.
    pub(crate) fn rate(&self) -> Option<Rate> {
        let rate = self.rate.map(f64::from);
        rate.filter(|rate| rate.is_finite() && *rate > 0.0)
            .map(Rate)
    }

    /// Whether its values are valid.
    pub(crate) fn is_proper(&self) -> bool {
        self.rate.is_none() || self.rate().is_some()
    }
}
