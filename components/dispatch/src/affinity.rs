//! Cache affinity: which upstreams prompts with a common prefix are sent to.
//!
//! Prefilling the parts that prompts share takes engine time and is paid for, so prompts with a
//! common prefix go to the same upstream while it has room. All daemons find it without
//! exchanging messages, by rendezvous hashing: it is the upstream whose hash with the shared
//! parts is highest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::requirements::Requirements;
use crate::upstreams::{Entry, UpstreamIndex};

/// Share of a prompt's shared tokens that its preferred upstream is expected to have cached
/// even if this daemon never sent them there.
const EXPECTED_CACHED_SHARE: f64 = 0.7;

/// An upstream that may be chosen.
pub(crate) type Candidate<'a> = (UpstreamIndex, &'a Entry);

/// Positions among the candidates of the upstreams preferred for a prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AffinityTargets {
    primary: Option<usize>,
    /// Fallback when the primary has no room.
    secondary: Option<usize>,
    /// Highest hash within the daemon's own failure domain.
    local: Option<usize>,
    /// The one expected to have the shared parts cached.
    expected_holder: Option<usize>,
}

impl AffinityTargets {
    /// Finds the preferred upstreams of a prompt with these shared prefixes.
    ///
    /// `local` are the positions in the daemon's own failure domain, `re_prefill_ms` is the
    /// cost of prefilling the shared parts again, and `cross_domain_ms` that of going to
    /// another failure domain.
    ///
    /// Only one upstream is expected to have the parts cached. When all three preferred ones were
    /// expected to have them, each daemon decided among them by load and locality, and all three
    /// prefilled the prompt. With one, a fifth fewer shared tokens are prefilled again.
    pub(crate) fn new(
        candidates: &[Candidate<'_>],
        local: &[usize],
        prefixes: &[u64],
        re_prefill_ms: f64,
        cross_domain_ms: f64,
    ) -> Self {
        let Some(prefix) = prefixes.last() else {
            return Self::default();
        };
        let [primary, secondary] = two_highest(candidates, 0..candidates.len(), *prefix);
        let local = two_highest(candidates, local.iter().copied(), *prefix)[0];
        let expected_holder = match re_prefill_ms * EXPECTED_CACHED_SHARE > cross_domain_ms {
            true => primary,
            false => local.or(primary),
        };
        Self {
            primary,
            secondary,
            local,
            expected_holder,
        }
    }

    /// Positions of all preferred upstreams.
    pub(crate) fn positions(&self) -> impl Iterator<Item = usize> {
        [self.primary, self.secondary, self.local]
            .into_iter()
            .flatten()
    }

    /// Shared tokens that the upstream at a position is expected to have cached, where this
    /// daemon knows of `known`.
    pub(crate) fn expected_cached(&self, position: usize, known: u32, shared: u32) -> f64 {
        match self.expected_holder == Some(position) {
            true => f64::from(known).max(f64::from(shared) * EXPECTED_CACHED_SHARE),
            false => f64::from(known),
        }
    }
}

/// Hashes of the model and the prompt up to the end of each shared part.
pub(crate) fn prefixes_of(requirements: &Requirements<'_>) -> Vec<u64> {
    let model = requirements.model.map_or("", |model| model);
    let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
    let shared = requirements.parts.len().saturating_sub(1);
    let parts = requirements.parts.iter().take(shared);
    parts
        .map(|part| {
            hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
            hash
        })
        .collect()
}

/// Number of tokens in the parts that a prompt shares with other prompts.
pub(crate) fn shared_tokens(requirements: &Requirements<'_>) -> u32 {
    let shared = requirements.parts.len().saturating_sub(1);
    requirements
        .parts
        .iter()
        .take(shared)
        .map(|part| part.tokens)
        .sum()
}

/// Number of tokens in the longest prefix that this daemon sent to the upstream.
pub(crate) fn known_cached_tokens(
    entry: &Entry,
    requirements: &Requirements<'_>,
    prefixes: &[u64],
) -> u32 {
    let known = prefixes
        .iter()
        .take_while(|hash| entry.prefixes.contains_key(hash))
        .count();
    requirements
        .parts
        .iter()
        .take(known)
        .map(|part| part.tokens)
        .sum()
}

/// Positions of the two upstreams whose hash with a prefix is highest.
fn two_highest(
    candidates: &[Candidate<'_>],
    positions: impl Iterator<Item = usize>,
    prefix: u64,
) -> [Option<usize>; 2] {
    let hashed = positions.map(|position| {
        let id = candidates[position].1.spec.id.as_str();
        (xxh3_64_with_seed(id.as_bytes(), prefix), position)
    });
    let mut best = [None, None];
    for hashed in hashed {
        if best[0].is_none_or(|first| hashed > first) {
            best = [Some(hashed), best[0]];
        } else if best[1].is_none_or(|second| hashed > second) {
            best[1] = Some(hashed);
        }
    }
    best.map(|hashed| hashed.map(|(_, position)| position))
}
