//! Connection pool for upstreams.

use std::collections::HashMap;
use std::hash::Hash;

use types::prelude::*;

use crate::head::Head;
use crate::wire::Wire;

/// Most idle connections per upstream. Covers one daemon's share of the peak of a quiet day.
pub const MAX_IDLE_PER_UPSTREAM: usize = 8;
/// Share of an upstream's connections that all daemons together keep idle. The rest is left to
/// requests in flight.
const IDLE_SHARE: f64 = 0.5;
/// Keep-alive timeout if the upstream does not advertise one.
const DEFAULT_KEEP_ALIVE: Span = Span::from_secs(4);
/// Subtracted from the keep-alive timeout that the upstream advertises, for the transit time and
/// the slack of the upstream's timer. A request that is sent as the upstream closes the
/// connection is lost if it must not be retried.
const KEEP_ALIVE_MARGIN: Span = Span::from_millis(700);

/// Returns how many idle connections to an upstream one of `daemons` keeps, where the upstream
/// accepts `max_connections` from all of them together.
///
/// An upstream resets connections beyond its limit, with the requests on them. The result is 0
/// where there are more daemons than connections to keep.
#[must_use]
pub fn max_idle(max_connections: u32, daemons: usize) -> usize {
    let kept = f64::from(max_connections) * IDLE_SHARE;
    let share = kept / daemons.max(1) as f64;
    (share as usize).min(MAX_IDLE_PER_UPSTREAM)
}

#[derive(Debug)]
struct IdleConnection {
    wire: Wire,
    expires_at: Time,
}

/// Idle connections by upstream; `K` identifies an upstream.
#[derive(Debug)]
pub struct Pool<K> {
    idle: HashMap<K, Vec<IdleConnection>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Self {
            idle: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> Pool<K> {
    /// Takes an idle connection that has no bytes to read.
    ///
    /// A second or late answer to an earlier request that waits on an idle connection would be
    /// read as the answer to the next request.
    pub fn take(&mut self, now: Time, upstream: K) -> Option<Wire> {
        let connections = self.idle.get_mut(&upstream)?;
        while let Some(newest) = connections.pop() {
            if now < newest.expires_at && newest.wire.is_idle() {
                return Some(newest.wire);
            }
        }
        None
    }

    /// Whether an idle connection to an upstream is still open.
    #[must_use]
    pub fn has_open(&self, upstream: K) -> bool {
        let connections = self.idle.get(&upstream).into_iter().flatten();
        let mut wires = connections.map(|connection| &connection.wire);
        wires.any(Wire::is_idle)
    }

    /// Adds a connection that has carried no request yet, unless `max_idle` are kept already.
    pub fn put_unused(&mut self, now: Time, upstream: K, wire: Wire, max_idle: usize) {
        if wire.is_idle() {
            self.add(upstream, wire, now + DEFAULT_KEEP_ALIVE, max_idle);
        }
    }

    /// Adds a connection after a complete response with this head, unless it must be closed or
    /// `max_idle` are kept already.
    pub fn put(&mut self, now: Time, upstream: K, wire: Wire, head: &Head, max_idle: usize) {
        if !head.keeps_alive() || !wire.is_idle() {
            return;
        }
        let span = advertised_keep_alive(head).map_or(DEFAULT_KEEP_ALIVE, |advertised| {
            advertised - KEEP_ALIVE_MARGIN
        });
        if span > Span::ZERO {
            self.add(upstream, wire, now + span, max_idle);
        }
    }

    fn add(&mut self, upstream: K, wire: Wire, expires_at: Time, max_idle: usize) {
        if max_idle == 0 {
            return;
        }
        let connections = self.idle.entry(upstream).or_default();
        if connections.len() < max_idle {
            connections.push(IdleConnection { wire, expires_at });
        }
    }

    /// Closes connections that have expired, broken or got bytes, or whose upstream is not `known`.
    pub fn purge(&mut self, now: Time, known: impl Fn(K) -> bool) {
        self.idle.retain(|upstream, connections| {
            connections
                .retain(|connection| now < connection.expires_at && connection.wire.is_idle());
            !connections.is_empty() && known(*upstream)
        });
    }

    /// Number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Whether there are no idle connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The upstream's keep-alive timeout from a field such as `Keep-Alive: timeout=5`.
fn advertised_keep_alive(head: &Head) -> Option<Span> {
    let text = head.text("keep-alive")?;
    let parts = text.split(',').map(str::trim);
    let mut timeouts = parts.filter_map(|part| part.strip_prefix("timeout="));
    let secs = timeouts.next()?.trim().parse().ok()?;
    Some(Span::from_secs(secs))
}
