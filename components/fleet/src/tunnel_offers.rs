//! Tunnels that peers offer in their heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use dispatch::TunnelPeer;
use membership::Membership;
use types::prelude::*;

/// Offers kept: those heard last. In a large fleet some dozen peers send heartbeats to a daemon.
const MAX_OFFERS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Offer {
    address: SocketAddr,
    heard_at: Time,
}

/// Tunnels that peers offer.
#[derive(Debug, Default)]
pub(crate) struct TunnelOffers {
    offers: BTreeMap<DaemonId, Offer>,
    peers: Arc<Vec<TunnelPeer>>,
}

impl TunnelOffers {
    /// Notes the address at which a peer accepts tunnels.
    pub(crate) fn note(&mut self, now: Time, from: &DaemonId, address: SocketAddr) {
        let heard_at = now;
        let offer = Offer { address, heard_at };
        self.offers.insert(from.clone(), offer);
        if self.offers.len() > MAX_OFFERS {
            let oldest = self.offers.iter().min_by_key(|(_, offer)| offer.heard_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.offers.remove(&id));
        }
    }

    /// The peers that are present, with the addresses at which they accept tunnels. Those whose
    /// heartbeats this daemon does not get are expected at the port that it uses itself.
    pub(crate) fn peers(&mut self, members: &Membership, own_port: u16) -> Arc<Vec<TunnelPeer>> {
        let is_present = |id: &DaemonId| {
            let member = members.member(id);
            member.is_some_and(|member| member.record.state.is_present())
        };
        self.offers.retain(|id, _| is_present(id));
        let own_ip = members.local().address.ip();
        let present = members.members().map(|member| &member.record);
        let present = present.filter(|record| record.state.is_present());
        let peers = present.filter_map(|record| {
            let offered = self.offers.get(&record.id).map(|offer| offer.address);
            let ip = record.address.ip();
            let expected = (ip != own_ip).then_some(SocketAddr::new(ip, own_port));
            Some(TunnelPeer {
                id: record.id.clone(),
                address: offered.or(expected)?,
                failure_domain: record.failure_domain.clone(),
            })
        });
        let peers = peers.collect::<Vec<_>>();
        if *self.peers != peers {
            self.peers = Arc::new(peers);
        }
        Arc::clone(&self.peers)
    }
}
