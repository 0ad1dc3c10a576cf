//! Pins of sessions to versions.
//!
//! A session keeps its version through any daemon. Callers that send back the signed
//! [`token`] carry the pin themselves: any daemon reads it, with the store down, the region cut
//! and every daemon replaced. For callers that only send a name of their own, the pin is held
//! by two home daemons ([`homes`], [`pins`], [`lookup`]); if both are lost at once, the session
//! is chosen for anew by draws that follow from its name alone ([`SessionKey::hash64`]).

pub mod choice;
pub mod homes;
pub mod lookup;
pub mod pins;
pub mod token;

use serde::{Deserialize, Serialize};
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// A named session: names are unique for a customer and offer only.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey {
    /// Whose it is.
    pub customer: CustomerId,
    /// The offer that it uses.
    pub offer: EntryName,
    /// Its caller's name for it.
    pub session: SessionId,
}

impl SessionKey {
    /// A hash that is the same in every daemon. NUL, which no name holds, keeps the parts
    /// apart.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        let text = format!("{}\0{}\0{}", self.customer, self.offer, self.session);
        xxh3_64(text.as_bytes())
    }
}
