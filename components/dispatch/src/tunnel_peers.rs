//! Choice of the peer through which an upstream is reached.
//!
//! Peers in this daemon's or in the upstream's failure domain add no traffic between failure
//! domains, so they go first while they carry no more of this daemon's requests than others. Two
//! random candidates are compared, so that daemons that lose their paths at one moment do not all
//! choose the same peer. A peer that has lost its own path to a service is not asked for it for a
//! while.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::seq::IteratorRandom;
use ratelimit::DaemonKey;
use types::prelude::*;

/// Pause in which a peer that could not help with a service is not asked again for it.
const EJECTION: Span = Span::from_secs(1);
/// Candidates compared.
const CANDIDATES: usize = 2;

/// A peer that offers tunnels to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TunnelPeer {
    /// The peer.
    pub id: DaemonId,
    /// Address at which it accepts tunnels.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// What a tunnel is needed for.
#[derive(Debug, Clone, Copy)]
pub struct TunnelNeed<'a> {
    /// The service of the upstream.
    pub service: &'a str,
    /// The failure domain of the upstream.
    pub upstream_domain: &'a FailureDomain,
    /// The failure domain of this daemon.
    pub local_domain: &'a FailureDomain,
    /// Peers that were asked already.
    pub exclude: &'a [DaemonId],
}

/// The peers that offer tunnels, and what is known of them.
#[derive(Debug, Default)]
pub struct TunnelPeers {
    peers: Arc<Vec<TunnelPeer>>,
    addresses: HashMap<DaemonKey, SocketAddr>,
    in_flight: BTreeMap<DaemonId, usize>,
    ejected: HashMap<(DaemonId, Arc<str>), Time>,
}

impl TunnelPeers {
    /// Replaces the list of peers.
    pub fn set(&mut self, peers: Arc<Vec<TunnelPeer>>) {
        if Arc::ptr_eq(&self.peers, &peers) {
            return;
        }
        let addresses = peers.iter();
        let addresses = addresses.map(|peer| (DaemonKey::from(&peer.id), peer.address));
        self.addresses = addresses.collect();
        self.peers = peers;
    }

    /// Returns the address at which a daemon accepts tunnels.
    #[must_use]
    pub fn address(&self, daemon: DaemonKey) -> Option<SocketAddr> {
        self.addresses.get(&daemon).copied()
    }

    /// Whether no peer offers tunnels.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Chooses a peer; none if all were asked.
    pub fn choose(
        &self,
        now: Time,
        need: &TunnelNeed<'_>,
        rng: &mut impl Rng,
    ) -> Option<TunnelPeer> {
        let peers = self.peers.iter();
        let peers = peers.filter(|peer| !need.exclude.contains(&peer.id));
        let (ejected, available): (Vec<_>, Vec<_>) =
            peers.partition(|peer| self.is_ejected(now, &peer.id, need.service));
        if available.is_empty() {
            return ejected.into_iter().choose(rng).cloned();
        }
        let is_near = |peer: &TunnelPeer| {
            peer.failure_domain == *need.local_domain
                || peer.failure_domain == *need.upstream_domain
        };
        let near = available.iter().filter(|peer| is_near(peer));
        let near = near.copied().sample(rng, CANDIDATES);
        let any = available.iter().copied().sample(rng, CANDIDATES);
        let cost = |peer: &&TunnelPeer| (self.in_flight(&peer.id), !is_near(peer));
        near.into_iter().chain(any).min_by_key(cost).cloned()
    }

    fn in_flight(&self, peer: &DaemonId) -> usize {
        self.in_flight.get(peer).copied().unwrap_or(0)
    }

    fn is_ejected(&self, now: Time, peer: &DaemonId, service: &str) -> bool {
        let mut ejected = self.ejected.iter();
        ejected.any(|((id, of), until)| id == peer && **of == *service && !now.has_reached(*until))
    }

    /// Records that a tunnel through a peer begins.
    pub fn record_start(&mut self, peer: &DaemonId) {
        *self.in_flight.entry(peer.clone()).or_default() += 1;
    }

    /// Records that a tunnel through a peer has ended.
    pub fn record_end(&mut self, peer: &DaemonId) {
        let Some(count) = self.in_flight.get_mut(peer) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(peer);
        }
    }

    /// Records that a peer cannot help with a service now.
    pub fn record_no_help(&mut self, now: Time, peer: &DaemonId, service: &Arc<str>) {
        self.ejected.retain(|_, until| !now.has_reached(*until));
        let key = (peer.clone(), Arc::clone(service));
        self.ejected.insert(key, now + EJECTION);
    }
}
