//! Authentication tags that bind a message to its sender, receiver and connection, and replay
//! protection.

use std::net::SocketAddr;

use bytes::Bytes;
use hmac::{Hmac, KeyInit, Mac};
use membership::Sender;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use types::prelude::*;

use crate::config::Keys;

/// Length of a challenge, in bytes.
const CHALLENGE_BYTES: usize = 16;
/// Length of an authentication tag, in bytes: half of an HMAC-SHA256.
const TAG_BYTES: usize = 16;
/// Size of the replay window: how far a sequence number may lie behind the highest one received.
const WINDOW_SIZE: u32 = 128;

/// Random bytes that the receiver chooses for each connection.
pub(crate) type Challenge = [u8; CHALLENGE_BYTES];

/// Role of a sealed message; a tag made for one role is not valid for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    Deliver = 1,
    Ask = 2,
    Reply = 3,
}

/// A message with its authentication tag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sealed {
    key: u16,
    /// Sequence number, unique on its connection; a reply has that of its query.
    pub(crate) number: u32,
    /// An encoded payload.
    pub(crate) body: Bytes,
    tag: [u8; TAG_BYTES],
}

/// Why a receiver refused a message, query or handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The sender belongs to another cluster.
    #[error("the peer is of another cluster; check the cluster's name in the settings")]
    Cluster,
    /// The handshake names another address than that of the receiver.
    #[error("the peer is reached at another address; check its advertised address")]
    Address,
    /// The connection has had no handshake, or more than one.
    #[error("the connection was not greeted once")]
    Handshake,
    /// The receiver does not accept the key id.
    #[error("the peer does not know the key sent with; give it the key first")]
    Key,
    /// The authentication tag does not match.
    #[error("the peer holds another secret under the same key id")]
    Tag,
    /// The sequence number was received before, or is older than the replay window.
    #[error("the message was received before")]
    Replay,
    /// The content cannot be decoded.
    #[error("the peer cannot read the message; the versions may differ too far")]
    Malformed,
    /// The receiver's queue is full, or a query was not answered there in time.
    #[error("the peer is overloaded")]
    Overloaded,
}

/// The properties of a connection that authentication tags cover.
#[derive(Debug, Clone)]
pub(crate) struct Endpoints {
    pub(crate) cluster: ClusterName,
    pub(crate) from: Sender,
    pub(crate) to: SocketAddr,
    pub(crate) challenge: Challenge,
}

impl Endpoints {
    fn mac(
        &self,
        secret: &[u8],
        purpose: Purpose,
        key: u16,
        number: u32,
        body: &[u8],
    ) -> Hmac<Sha256> {
        #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length");
        mac.update(&[purpose as u8]);
        mac.update(&key.to_le_bytes());
        mac.update(&number.to_le_bytes());
        mac.update(&self.challenge);
        mac.update(&self.from.incarnation.0.to_le_bytes());
        let from = self.from.address.to_string();
        let to = self.to.to_string();
        let texts = [self.cluster.as_str(), self.from.id.as_str(), &from, &to];
        for text in texts {
            mac.update(&(text.len() as u64).to_le_bytes());
            mac.update(text.as_bytes());
        }
        mac.update(body);
        mac
    }

    /// Authenticates a body with the sending key.
    pub(crate) fn seal(&self, keys: &Keys, purpose: Purpose, number: u32, body: Bytes) -> Sealed {
        let key = keys.sending();
        let secret = keys.secret(key).cloned().unwrap_or_default();
        let mac = self.mac(&secret, purpose, key, number, &body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
        Sealed {
            key,
            number,
            body,
            tag,
        }
    }

    /// Verifies a sealed body with the accepted keys.
    ///
    /// # Errors
    /// If the key is not accepted or the tag does not match.
    pub(crate) fn open(
        &self,
        keys: &Keys,
        purpose: Purpose,
        sealed: &Sealed,
    ) -> Result<(), Refusal> {
        let secret = keys.secret(sealed.key).ok_or(Refusal::Key)?;
        let mac = self.mac(secret, purpose, sealed.key, sealed.number, &sealed.body);
        let checked = mac.verify_truncated_left(&sealed.tag);
        checked.map_err(|_| Refusal::Tag)
    }
}

/// Replay window: the sequence numbers received on a connection.
///
/// Without it, a recorded message that is replayed would be accepted twice. Queries run
/// concurrently, so numbers may arrive slightly out of order.
#[derive(Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u32,
    seen: u128,
}

impl ReplayWindow {
    /// Records a sequence number; fails if it was received before or is older than the window.
    pub(crate) fn accept(&mut self, number: u32) -> Result<(), Refusal> {
        if number > self.highest {
            let shift = number - self.highest;
            self.seen = self.seen.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = number;
            return Ok(());
        }
        let age = self.highest - number;
        if age >= WINDOW_SIZE || self.seen & (1 << age) != 0 {
            return Err(Refusal::Replay);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}
