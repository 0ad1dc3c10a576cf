//! Prefill time per prompt token, learned for each model.
//!
//! The time per token grows with the prompt's length, and how much depends on the engine. So
//! each model has a mean for each class of lengths; a class without samples uses the mean of
//! its nearest neighbour.

/// Lengths at which the next class begins, in tokens.
const CLASS_STARTS: [u32; 4] = [2_000, 8_000, 20_000, 40_000];
/// Time per token before the first sample, in ms.
const DEFAULT_TOKEN_MS: f64 = 0.02;
/// Least weight of a new sample: about the last twenty count.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Cap of a sample as a multiple of the expected time, for a request that waited behind requests
/// that this daemon does not see.
const MAX_SAMPLE_FACTOR: f64 = 3.0;

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    ms: f64,
    count: u32,
}

/// Mean prefill times of one model's tokens, by length class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PrefillTimes {
    means: [Mean; CLASS_STARTS.len() + 1],
}

fn class_of(tokens: u32) -> usize {
    CLASS_STARTS
        .iter()
        .take_while(|from| tokens >= **from)
        .count()
}

impl PrefillTimes {
    pub(crate) fn record(&mut self, tokens: u32, ms: f64) {
        let expected = self.token_ms(tokens);
        let mean = &mut self.means[class_of(tokens)];
        let is_first = mean.count == 0;
        mean.count += 1;
        let per_token = ms / f64::from(tokens.max(1));
        let per_token = if is_first {
            per_token
        } else {
            per_token.min(expected * MAX_SAMPLE_FACTOR)
        };
        let weight = (1.0 / f64::from(mean.count)).max(MIN_SAMPLE_WEIGHT);
        mean.ms += weight * (per_token - mean.ms);
    }

    pub(crate) fn token_ms(&self, tokens: u32) -> f64 {
        let class = class_of(tokens);
        let nearest = (0..self.means.len())
            .filter(|other| self.means[*other].count > 0)
            .min_by_key(|other| other.abs_diff(class));
        nearest.map_or(DEFAULT_TOKEN_MS, |other| self.means[other].ms)
    }
}
