//! How long engines take to read a prompt.
//!
//! The time of a token grows with the prompt's length, by how much depends on the engine;
//! so each model has a mean for each class of lengths, and a class that was not measured
//! yet takes its nearest neighbour's.

/// Lengths from which the next class begins, in tokens.
const CLASSES: [u32; 4] = [2_000, 8_000, 20_000, 40_000];
/// First guess of a token's time, in ms.
const FIRST_GUESS_MS: f64 = 0.02;
/// Weight of a new figure once some were taken: about the last twenty count.
const WEIGHT: f64 = 0.05;
/// A figure counts at most so many times the mean: one that waited behind others unseen.
const MOST_TIMES: f64 = 3.0;

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    ms: f64,
    count: u32,
}

/// Time of a prompt's token of one model.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reading {
    means: [Mean; CLASSES.len() + 1],
}

fn class_of(tokens: u32) -> usize {
    CLASSES.iter().take_while(|from| tokens >= **from).count()
}

impl Reading {
    pub(crate) fn note(&mut self, tokens: u32, ms: f64) {
        let expected = self.token_ms(tokens);
        let mean = &mut self.means[class_of(tokens)];
        let is_first = mean.count == 0;
        mean.count += 1;
        let per_token = ms / f64::from(tokens.max(1));
        let per_token = if is_first {
            per_token
        } else {
            per_token.min(expected * MOST_TIMES)
        };
        let weight = (1.0 / f64::from(mean.count)).max(WEIGHT);
        mean.ms += weight * (per_token - mean.ms);
    }

    pub(crate) fn token_ms(&self, tokens: u32) -> f64 {
        let class = class_of(tokens);
        let nearest = (0..self.means.len())
            .filter(|place| self.means[*place].count > 0)
            .min_by_key(|place| place.abs_diff(class));
        nearest.map_or(FIRST_GUESS_MS, |place| self.means[place].ms)
    }
}
