//! Where prompts that begin alike belong.
//!
//! Reading the parts that prompts share takes an engine's time and is paid for, so prompts
//! that share them go to the same upstream while it has room. Which one that is all daemons
//! find without a word between them: the upstream whose hash with the shared parts is
//! highest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::need::Need;
use crate::upstreams::{Entry, UpstreamIndex};

/// Part of a prompt's shared tokens that its home is expected to hold without this daemon
/// having sent it there.
const HOME_HOLDS: f64 = 0.7;

/// An upstream that may be chosen.
pub(crate) type Candidate<'a> = (UpstreamIndex, &'a Entry);

/// The places of a prompt's homes among the candidates.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Homes {
    first: Option<usize>,
    /// Where it goes when the first has no room.
    second: Option<usize>,
    /// The first of those in the daemon's own failure domain.
    near: Option<usize>,
    /// Who is expected to hold the shared parts.
    holder: Option<usize>,
}

impl Homes {
    /// The homes of a prompt with these shared parts; `near` are the places in the daemon's
    /// own failure domain, `again_ms` is what reading the parts once more costs, and `way_ms`
    /// what the way to another failure domain does.
    ///
    /// Guards against prompts that are read at every home they may have: with all three
    /// expected to hold the parts, load and nearness chose among them at each daemon. With one a
    /// fifth fewer shared tokens are read again.
    pub(crate) fn of(
        candidates: &[Candidate<'_>],
        near: &[usize],
        prefixes: &[u64],
        again_ms: f64,
        way_ms: f64,
    ) -> Self {
        let Some(prefix) = prefixes.last() else {
            return Self::default();
        };
        let [first, second] = highest(candidates, 0..candidates.len(), *prefix);
        let near = highest(candidates, near.iter().copied(), *prefix)[0];
        let holder = match again_ms * HOME_HOLDS > way_ms {
            true => first,
            false => near.or(first),
        };
        Self {
            first,
            second,
            near,
            holder,
        }
    }

    /// All of them.
    pub(crate) fn places(&self) -> impl Iterator<Item = usize> {
        [self.first, self.second, self.near].into_iter().flatten()
    }

    /// Tokens of the shared parts that the upstream at a place is expected to hold, where this
    /// daemon knows of `known`.
    pub(crate) fn held(&self, place: usize, known: u32, shared: u32) -> f64 {
        match self.holder == Some(place) {
            true => f64::from(known).max(f64::from(shared) * HOME_HOLDS),
            false => f64::from(known),
        }
    }
}

/// A hash of the model and the parts so far, for each shared part.
pub(crate) fn prefixes_of(need: &Need<'_>) -> Vec<u64> {
    let model = need.model.map_or("", |model| model);
    let mut hash = xxh3_64_with_seed(model.as_bytes(), 0);
    let shared = need.parts.len().saturating_sub(1);
    let parts = need.parts.iter().take(shared);
    parts
        .map(|part| {
            hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
            hash
        })
        .collect()
}

/// Tokens of the parts that a prompt shares with others.
pub(crate) fn shared_tokens(need: &Need<'_>) -> u32 {
    let shared = need.parts.len().saturating_sub(1);
    need.parts.iter().take(shared).map(|part| part.tokens).sum()
}

/// Tokens of the longest prefix that this daemon sent there.
pub(crate) fn held_tokens(entry: &Entry, need: &Need<'_>, prefixes: &[u64]) -> u32 {
    let known = prefixes
        .iter()
        .take_while(|hash| entry.prefixes.contains_key(hash))
        .count();
    need.parts.iter().take(known).map(|part| part.tokens).sum()
}

/// The two places whose upstreams have the highest hash with a prefix.
fn highest(
    candidates: &[Candidate<'_>],
    places: impl Iterator<Item = usize>,
    prefix: u64,
) -> [Option<usize>; 2] {
    let hashed = places.map(|place| {
        let id = candidates[place].1.spec.id.as_str();
        (xxh3_64_with_seed(id.as_bytes(), prefix), place)
    });
    let mut best = [None, None];
    for hashed in hashed {
        if best[0].is_none_or(|first| hashed > first) {
            best = [Some(hashed), best[0]];
        } else if best[1].is_none_or(|second| hashed > second) {
            best[1] = Some(hashed);
        }
    }
    best.map(|hashed| hashed.map(|(_, place)| place))
}
