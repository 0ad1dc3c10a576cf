//! Kept connections to upstreams.

use std::collections::HashMap;
use std::hash::Hash;

use types::prelude::*;

use crate::head::Head;
use crate::wire::Wire;

/// Kept for one upstream at most: one daemon's share of a quiet day's peak.
const MAX_KEPT: usize = 8;
/// Kept at most when the upstream does not say how long it keeps its end.
const UNSAID: Span = Span::from_secs(4);
/// Taken off what the upstream says: the way there and its own timer's slack. A request
/// that crosses its close is lost where it may not be repeated.
const MARGIN: Span = Span::from_millis(700);

#[derive(Debug)]
struct Kept {
    wire: Wire,
    until: Time,
}

/// Kept connections by upstream, whatever `K` names one.
#[derive(Debug)]
pub struct Pool<K> {
    kept: HashMap<K, Vec<Kept>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Self {
            kept: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Pool<K> {
    /// Takes a connection on which nothing waits to be read.
    ///
    /// Guards against bytes of an earlier request: a second or late answer that lies on a
    /// kept connection would be read as the next request's.
    pub fn take(&mut self, now: Time, upstream: K) -> Option<Wire> {
        let kept = self.kept.get_mut(&upstream)?;
        while let Some(newest) = kept.pop() {
            if now < newest.until && newest.wire.is_quiet() {
                return Some(newest.wire);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer.
    pub fn keep(&mut self, now: Time, upstream: K, wire: Wire, head: &Head) {
        if !head.keeps_alive() || !wire.is_quiet() {
            return;
        }
        let span = said(head).map_or(UNSAID, |said| said - MARGIN);
        let kept = self.kept.entry(upstream).or_default();
        if span > Span::ZERO && kept.len() < MAX_KEPT {
            kept.push(Kept {
                wire,
                until: now + span,
            });
        }
    }

    /// Closes what is too old or goes to an upstream that is not `known`.
    pub fn tidy(&mut self, now: Time, known: impl Fn(K) -> bool) {
        self.kept.retain(|upstream, kept| {
            kept.retain(|kept| now < kept.until);
            !kept.is_empty() && known(*upstream)
        });
    }

    /// Connections held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.values().map(Vec::len).sum()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// How long the upstream says that it keeps its end, from `Keep-Alive: timeout=5`.
fn said(head: &Head) -> Option<Span> {
    let text = head.text("keep-alive")?;
    let parts = text.split(',').map(str::trim);
    let mut timeouts = parts.filter_map(|part| part.strip_prefix("timeout="));
    let secs = timeouts.next()?.trim().parse().ok()?;
    Some(Span::from_secs(secs))
}
