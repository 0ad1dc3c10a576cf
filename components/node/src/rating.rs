//! Has a sample of the answers rated, on threads of its own.
//!
//! A rating blocks for as long as the rater lags, so several are under way at once. A
//! sample that finds no thread free is dropped: ratings are evidence, not work owed.

use std::net::SocketAddr;
use std::sync::Arc;

use externals::{PlatformError, Rater, Sample};
use types::prelude::*;

use crate::pool::Pool;
use crate::shared::{Shared, lock};

/// Ratings under way at once.
const MAX_RATINGS: usize = 64;
/// Longest text sent to the rater, of prompt and answer each.
const MAX_TEXT: usize = 64 << 10;
/// Pause after a rating failed.
const FAILED_PAUSE: Span = Span::from_secs(2);

/// What is known of an answer before it is rated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stated {
    /// How sure the engine said it was.
    pub(crate) confidence: Option<quality::Confidence>,
    /// Another version's answer was discarded for it.
    pub(crate) escalated: bool,
}

/// Has answers rated.
pub(crate) struct Rating {
    rater: Option<Rater>,
    pool: Pool,
}

impl Rating {
    /// Through the rater at an address; without one nothing is rated.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        Self {
            rater: address.map(Rater::new),
            pool: Pool::new(MAX_RATINGS),
        }
    }
}

/// Whether an answer of a version is to be rated; a yes counts against the rater's rate.
pub(crate) fn wants(
    shared: &Shared,
    class: &ClassName,
    version: &VersionId,
    stated: Stated,
) -> bool {
    let now = shared.now();
    let mut quality = lock(&shared.quality);
    shared.rating.rater.is_some()
        && quality.should_rate(now, class, version, stated.escalated, &mut rand::rng())
}

/// Has an answer rated.
pub(crate) fn send(shared: &Arc<Shared>, sample: Sample, stated: Stated) {
    let Some(rater) = shared.rating.rater else {
        return;
    };
    let shared_too = shared.clone();
    let sample = shortened(sample);
    let dropped = shared
        .rating
        .pool
        .run(move || rate(&shared_too, rater, &sample, stated));
    if dropped.is_err() {
        tracing::debug!("quality: a sample found no thread free");
    }
}

fn shortened(sample: Sample) -> Sample {
    let cut = |text: String| match text.char_indices().nth(MAX_TEXT) {
        Some((at, _)) => text[..at].to_owned(),
        None => text,
    };
    Sample {
        prompt: cut(sample.prompt),
        answer: cut(sample.answer),
        ..sample
    }
}

fn rate(shared: &Shared, rater: Rater, sample: &Sample, stated: Stated) {
    let rated = rater.rate(sample);
    let now = shared.now();
    let mut quality = lock(&shared.quality);
    match rated {
        Ok(adequate) => {
            let rating = quality::Rating {
                adequate,
                confidence: stated.confidence,
                escalated: stated.escalated,
            };
            let rng = &mut rand::rng();
            let taken = quality.record_rating(now, &sample.class, &sample.version, rating, rng);
            if let Err(error) = taken {
                tracing::warn!("quality: a rating is lost: {error}");
            }
        }
        Err(PlatformError::Later(pause)) => quality.pause_rating(now + pause),
        Err(PlatformError::Failed(reason)) => {
            tracing::debug!("quality: a rating failed: {reason}");
            quality.pause_rating(now + FAILED_PAUSE);
        }
    }
}
