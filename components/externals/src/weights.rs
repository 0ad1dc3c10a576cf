//! Client of the store of models' weights, from which a limited number of engines may fetch at
//! once.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::call::{PlatformError, post};

const TIMEOUT: Span = Span::from_secs(10);

/// Id of a slot, which permits an engine to fetch a version's weights.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SlotId(pub serde_json::Value);

#[derive(Serialize)]
struct SlotRequest<'a> {
    version: &'a VersionId,
}

#[derive(Deserialize)]
struct SlotGrant {
    slot: SlotId,
}

/// A client of the weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightStore {
    address: SocketAddr,
}

impl WeightStore {
    /// Creates a client of the weight store at this address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Requests a slot to fetch a version.
    ///
    /// # Errors
    /// [`PlatformError::Later`] if all slots are taken.
    pub fn take_slot(&self, version: &VersionId) -> Result<SlotId, PlatformError> {
        let grant: SlotGrant = post(self.address, "/slots", &SlotRequest { version }, TIMEOUT)?;
        Ok(grant.slot)
    }
}
