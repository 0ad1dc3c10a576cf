//! What an answer says of its upstream's rate limit, and what follows.

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

/// What an answer changed.
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
