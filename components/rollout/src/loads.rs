//! Which engine loads next.

use std::collections::BTreeMap;

use types::prelude::*;

use crate::observed::{Engine, Observed};

/// The engine that should load a version next: where the version is scarcest among the
/// failure domains, so that the loss of one takes as little as can be.
pub(crate) fn next_load<'a>(
    seen: &'a Observed<'_>,
    version: &VersionName,
    may_load: impl Fn(&Engine) -> bool,
) -> Option<&'a Engine> {
    let mut by_domain: BTreeMap<&FailureDomain, u32> = BTreeMap::new();
    for engine in seen.engines.iter().filter(|e| !e.leaving && e.has(version)) {
        *by_domain.entry(&engine.failure_domain).or_default() += engine.slots;
    }
    let lacking = seen.engines.iter().filter(|e| !e.has(version));
    let able = lacking.filter(|e| !e.leaving && !e.is_full && e.read_at.is_some());
    let able = able.filter(|e| may_load(e));
    able.min_by_key(|e| by_domain.get(&e.failure_domain).copied().unwrap_or(0))
}
