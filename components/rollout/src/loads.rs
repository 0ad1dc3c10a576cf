//! Chooses the engine that loads a version next.

use std::collections::BTreeMap;

use types::prelude::*;

use crate::observed::{Engine, Observed};

/// Returns the engine that should load a version next: one in the failure domain with the fewest
/// slots of it, so that the loss of a failure domain takes as little as possible.
pub(crate) fn next_engine_to_load<'a>(
    observed: &'a Observed<'_>,
    version: &VersionName,
    may_load: impl Fn(&Engine) -> bool,
) -> Option<&'a Engine> {
    let mut by_domain: BTreeMap<&FailureDomain, u32> = BTreeMap::new();
    for engine in observed
        .engines
        .iter()
        .filter(|e| !e.leaving && e.has(version))
    {
        *by_domain.entry(&engine.failure_domain).or_default() += engine.slots;
    }
    let lacking = observed.engines.iter().filter(|e| !e.has(version));
    let candidates = lacking.filter(|e| !e.leaving && !e.is_full && e.read_at.is_some());
    let candidates = candidates.filter(|e| may_load(e));
    candidates.min_by_key(|e| by_domain.get(&e.failure_domain).copied().unwrap_or(0))
}
