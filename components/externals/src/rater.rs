//! Client of the service that rates answers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::call::{PlatformError, post};

/// Longest wait for a rating, which may take a while.
const TIMEOUT: Span = Span::from_secs(30);

/// An answer to rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Class of the request.
    pub class: ClassName,
    /// The version that answered.
    pub version: VersionId,
    /// The prompt of the request.
    pub prompt: String,
    /// The text of the answer.
    pub answer: String,
}

#[derive(Deserialize)]
struct Rating {
    adequate: bool,
}

/// A client of the rater.
#[derive(Debug, Clone, Copy)]
pub struct Rater {
    address: SocketAddr,
}

impl Rater {
    /// Creates a client of the rater at this address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Whether an answer is adequate. Blocks until the rating is done.
    ///
    /// # Errors
    /// If the rater refuses or fails.
    pub fn rate(&self, sample: &Sample) -> Result<bool, PlatformError> {
        let rating: Rating = post(self.address, "/ratings", sample, TIMEOUT)?;
        Ok(rating.adequate)
    }
}
