//! Codes that prove who sent a message, to whom, on which connection, and once.

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
/// Length of a code, in bytes: half of HMAC-SHA256.
const CODE_BYTES: usize = 16;
/// Numbers below the highest that may still arrive, each once.
const WINDOW: u32 = 128;

/// Random bytes that a receiver gives to each connection.
pub(crate) type Challenge = [u8; CHALLENGE_BYTES];

/// What is being sealed; a code for one is none for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Use {
    Deliver = 1,
    Ask = 2,
    Reply = 3,
}

/// A message with the proof of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sealed {
    key: u16,
    /// Unique on its connection.
    pub(crate) number: u32,
    /// A payload's bytes.
    pub(crate) body: Bytes,
    code: [u8; CODE_BYTES],
}

/// Why a receiver takes nothing from a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// It is of another fleet.
    #[error("the peer is of another cluster; check the cluster's name in the settings")]
    Cluster,
    /// The message was meant for another address.
    #[error("the peer is reached at another address; check its advertised address")]
    Address,
    /// No greeting yet, or more than one.
    #[error("the connection was not greeted once")]
    Greeting,
    /// The key is not known there.
    #[error("the peer does not know the key sent with; give it the key first")]
    Key,
    /// The code does not fit.
    #[error("the peer holds another secret under the same key id")]
    Code,
    /// The number was used before.
    #[error("the message was received before")]
    Replay,
    /// The content cannot be read.
    #[error("the peer cannot read the message; the versions may differ too far")]
    Malformed,
    /// There is no room in the receiver's queue.
    #[error("the peer is overloaded")]
    Overloaded,
}

/// Both ends of a connection, as far as codes cover them.
#[derive(Debug, Clone)]
pub(crate) struct Ends {
    pub(crate) cluster: ClusterName,
    pub(crate) from: Sender,
    pub(crate) to: SocketAddr,
    pub(crate) challenge: Challenge,
}

impl Ends {
    fn mac(&self, secret: &[u8], what: Use, key: u16, number: u32, body: &[u8]) -> Hmac<Sha256> {
        // HMAC takes keys of any length.
        #[expect(clippy::expect_used, reason = "HMAC takes keys of any length")]
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length");
        mac.update(&[what as u8]);
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

    /// Seals a body with the key in use.
    pub(crate) fn seal(&self, keys: &Keys, what: Use, number: u32, body: Bytes) -> Sealed {
        let key = keys.sending();
        let secret = keys.secret(key).cloned().unwrap_or_default();
        let mac = self.mac(&secret, what, key, number, &body);
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&mac.finalize().into_bytes()[..CODE_BYTES]);
        Sealed {
            key,
            number,
            body,
            code,
        }
    }

    /// Checks a sealed body against the keys accepted.
    pub(crate) fn open(&self, keys: &Keys, what: Use, sealed: &Sealed) -> Result<(), Refusal> {
        let secret = keys.secret(sealed.key).ok_or(Refusal::Key)?;
        let mac = self.mac(secret, what, sealed.key, sealed.number, &sealed.body);
        let checked = mac.verify_truncated_left(&sealed.code);
        checked.map_err(|_| Refusal::Code)
    }
}

/// Numbers already seen on a connection.
///
/// Guards against a recorded message that is sent again: it would be taken twice. Asks
/// run side by side, so numbers may arrive a little out of order.
#[derive(Debug, Default)]
pub(crate) struct Window {
    highest: u32,
    seen: u128,
}

impl Window {
    /// Notes a number; fails if it was seen or is too old to tell.
    pub(crate) fn take(&mut self, number: u32) -> Result<(), Refusal> {
        if number > self.highest {
            let shift = number - self.highest;
            self.seen = self.seen.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = number;
            return Ok(());
        }
        let age = self.highest - number;
        if age >= WINDOW || self.seen & (1 << age) != 0 {
            return Err(Refusal::Replay);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}
