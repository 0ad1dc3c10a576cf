//! The store of models' weights: a limited number of engines may fetch at once.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::call::{PlatformError, post};

const TIMEOUT: Span = Span::from_secs(10);

/// Leave to fetch a version's weights.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct SlotId(pub serde_json::Value);

#[derive(Serialize)]
struct Ask<'a> {
    version: &'a VersionId,
}

#[derive(Deserialize)]
struct Given {
    slot: SlotId,
}

/// A client of the weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightStore {
    address: SocketAddr,
}

impl WeightStore {
    /// Of the store at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Asks for leave to fetch a version.
    ///
    /// # Errors
    /// [`PlatformError::Later`] when too many fetch already.
    pub fn take_slot(&self, version: &VersionId) -> Result<SlotId, PlatformError> {
        let given: Given = post(self.address, "/slots", &Ask { version }, TIMEOUT)?;
        Ok(given.slot)
    }
}
