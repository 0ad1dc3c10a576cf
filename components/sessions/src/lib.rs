//! Pins of sessions to versions.
//!
//! A session keeps its version whichever daemon serves it. Callers that send back the signed
//! [`token`] carry the pin themselves: any daemon can read it, even with the store down, the
//! region cut off or every daemon replaced. For callers that only send their own name for the
//! session, two home daemons hold the pin ([`homes`], [`pins`], [`lookup`]). If both are lost at
//! once, a version is chosen again, by draws that depend only on the session's key
//! ([`SessionKey::hash64`]).

pub mod choice;
pub mod homes;
pub mod lookup;
pub mod pins;
pub mod token;

use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Key of a named session. Names are unique only within a customer and offer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey {
    /// Customer that the session belongs to.
    pub customer: CustomerId,
    /// Offer that the session uses.
    pub offer: EntryName,
    /// Name that the caller gave the session.
    pub session: SessionId,
}

impl SessionKey {
    /// Returns a hash that is the same in every daemon. The parts are separated by NUL, which
    /// no name contains.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        let text = format!("{}\0{}\0{}", self.customer, self.offer, self.session);
        xxh3_64(text.as_bytes())
    }
}
