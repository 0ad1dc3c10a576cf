//! The service that rates answers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::call::{PlatformError, post};

/// Ratings may lag; one that takes longer is given up.
const TIMEOUT: Span = Span::from_secs(30);

/// An answer to be rated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// The kind of work.
    pub class: ClassName,
    /// The version that answered.
    pub version: VersionId,
    /// What was asked.
    pub prompt: String,
    /// What was answered.
    pub answer: String,
}

#[derive(Deserialize)]
struct Rated {
    adequate: bool,
}

/// A client of the rater.
#[derive(Debug, Clone, Copy)]
pub struct Rater {
    address: SocketAddr,
}

impl Rater {
    /// Of the rater at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Whether an answer is adequate. Blocks for as long as the rating takes.
    ///
    /// # Errors
    /// When the rater refuses or fails.
    pub fn rate(&self, sample: &Sample) -> Result<bool, PlatformError> {
        let rated: Rated = post(self.address, "/ratings", sample, TIMEOUT)?;
        Ok(rated.adequate)
    }
}
