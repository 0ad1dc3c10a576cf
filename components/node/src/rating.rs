//! Has a sample of the answers rated, on threads of their own.
//!
//! A rating blocks until the rater replies, so several are in flight at once. A sample that finds
//! no thread free is dropped: ratings are statistical evidence, and none of them is required.

use std::net::SocketAddr;
use std::sync::Arc;

use externals::{PlatformError, Rater, Sample};
use types::prelude::*;

use crate::pool::Pool;
use crate::shared::{Shared, lock};

/// Most ratings in flight at once.
const MAX_RATINGS: usize = 64;
/// Longest text sent to the rater, in characters, for the prompt and the answer each.
const MAX_TEXT_CHARS: usize = 64 << 10;
/// Pause of all ratings after one failed.
const FAILED_PAUSE: Span = Span::from_secs(2);

/// What is known of an answer before it is rated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerInfo {
    /// The engine's stated confidence.
    pub(crate) confidence: Option<quality::Confidence>,
    /// Whether another version's answer was discarded for this one.
    pub(crate) escalated: bool,
}

/// Sends answers to the rater.
pub(crate) struct RatingPool {
    rater: Option<Rater>,
    pool: Pool,
}

impl RatingPool {
    /// Uses the rater at `address`; without one nothing is rated.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        Self {
            rater: address.map(Rater::new),
            pool: Pool::new(MAX_RATINGS),
        }
    }
}

/// Whether to rate an answer of a version; if so, it counts against the rater's rate limit.
pub(crate) fn should_rate(
    shared: &Shared,
    class: &ClassName,
    version: &VersionId,
    info: AnswerInfo,
) -> bool {
    let now = shared.now();
    let mut quality = lock(&shared.quality);
    shared.rating.rater.is_some()
        && quality.should_rate(now, class, version, info.escalated, &mut rand::rng())
}

/// Has an answer rated on a thread of the pool, or drops the sample if none is free.
pub(crate) fn submit(shared: &Arc<Shared>, sample: Sample, info: AnswerInfo) {
    let Some(rater) = shared.rating.rater else {
        return;
    };
    let task_shared = shared.clone();
    let sample = truncated(sample);
    let dropped = shared
        .rating
        .pool
        .run(move || rate(&task_shared, rater, &sample, info));
    if dropped.is_err() {
        tracing::debug!("quality: a sample was dropped, all rating threads are busy");
    }
}

fn truncated(sample: Sample) -> Sample {
    let truncate = |text: String| match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((at, _)) => text[..at].to_owned(),
        None => text,
    };
    Sample {
        prompt: truncate(sample.prompt),
        answer: truncate(sample.answer),
        ..sample
    }
}

fn rate(shared: &Shared, rater: Rater, sample: &Sample, info: AnswerInfo) {
    let result = rater.rate(sample);
    let now = shared.now();
    let mut quality = lock(&shared.quality);
    match result {
        Ok(adequate) => {
            let rating = quality::Rating {
                adequate,
                confidence: info.confidence,
                escalated: info.escalated,
            };
            let rng = &mut rand::rng();
            let recorded = quality.record_rating(now, &sample.class, &sample.version, rating, rng);
            if let Err(error) = recorded {
                tracing::warn!("quality: a rating could not be recorded: {error}");
            }
        }
        Err(PlatformError::Later(pause)) => quality.pause_rating(now + pause),
        Err(PlatformError::Failed(reason)) => {
            tracing::debug!("quality: a rating failed: {reason}");
            quality.pause_rating(now + FAILED_PAUSE);
        }
    }
}
