//! Signed tokens that carry a session's pin.
//!
//! `bx1.KEY.PAYLOAD.MAC`: the payload is JSON, the MAC is HMAC-SHA-256 over key name, payload
//! and customer, both in URL-safe base64. The customer is signed but not carried, so that one
//! customer's token is of no use to another. Keys rotate: the first signs, all verify. A token
//! that does not verify is no error for its caller, who gets a new session and a new token.

use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD as BASE64;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use types::prelude::*;

const PREFIX: &str = "bx1.";
/// Longest accepted token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 1024;
/// Most keys accepted at once.
pub const MAX_KEYS: usize = 4;
/// Shortest accepted key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// What a token says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pinned {
    /// The session's own name, given by the daemon that began it.
    #[serde(rename = "s")]
    pub session: SessionId,
    /// The offer that it uses.
    #[serde(rename = "o")]
    pub offer: EntryName,
    /// The version that it keeps.
    #[serde(rename = "v")]
    pub version: VersionId,
    /// Revision of the catalogue that it was pinned under.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// When it began, by the clock of the daemon that began it; for people only.
    #[serde(rename = "t")]
    pub start: WallTime,
}

/// A key that signs tokens.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    name: String,
    secret: Vec<u8>,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Key({})", self.name)
    }
}

/// Why keys cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The name is not 1 to 16 letters or digits.
    #[error("session key name {0:?} is not 1 to 16 letters or digits")]
    BadName(String),
    /// Too short.
    #[error("session key {0:?} is shorter than {MIN_KEY_BYTES} bytes")]
    TooShort(String),
    /// None or too many.
    #[error("{0} session keys are given, 1 to {MAX_KEYS} are allowed")]
    BadCount(usize),
    /// A name stands twice.
    #[error("session key {0:?} is given twice")]
    Repeated(String),
}

impl Key {
    /// Checks a name and a secret.
    ///
    /// # Errors
    /// Says what is wrong with the name or the secret's length.
    pub fn new(name: &str, secret: &[u8]) -> Result<Self, KeyError> {
        let is_name = (1..=16).contains(&name.len());
        if !is_name || !name.bytes().all(|byte| byte.is_ascii_alphanumeric()) {
            return Err(KeyError::BadName(name.to_owned()));
        }
        if secret.len() < MIN_KEY_BYTES {
            return Err(KeyError::TooShort(name.to_owned()));
        }
        Ok(Self {
            name: name.to_owned(),
            secret: secret.to_vec(),
        })
    }

    fn mac(&self, payload: &str, customer: &CustomerId) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).ok()?;
        for part in [&self.name, payload, customer.as_str()] {
            mac.update(part.as_bytes());
            mac.update(b"\0");
        }
        Some(mac)
    }
}

/// The cluster's keys: the first signs, all verify.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys(Vec<Key>);

impl Keys {
    /// Checks the keys of the settings.
    ///
    /// # Errors
    /// When there is none, too many, or two of one name.
    pub fn new(keys: Vec<Key>) -> Result<Self, KeyError> {
        if !(1..=MAX_KEYS).contains(&keys.len()) {
            return Err(KeyError::BadCount(keys.len()));
        }
        let repeated = (1..keys.len()).find(|i| keys[..*i].iter().any(|k| k.name == keys[*i].name));
        match repeated {
            Some(i) => Err(KeyError::Repeated(keys[i].name.clone())),
            None => Ok(Self(keys)),
        }
    }

    /// Signs a pin for a customer.
    #[must_use]
    pub fn sign(&self, customer: &CustomerId, pinned: &Pinned) -> String {
        let key = &self.0[0];
        let payload = BASE64.encode(serde_json::to_vec(pinned).unwrap_or_default());
        let mac = key.mac(&payload, customer);
        let mac = mac.map_or_else(Vec::new, |mac| mac.finalize().into_bytes().to_vec());
        format!("{PREFIX}{}.{payload}.{}", key.name, BASE64.encode(mac))
    }

    /// Reads a token, if it is one of ours for this customer.
    #[must_use]
    pub fn verify(&self, customer: &CustomerId, token: &str) -> Option<Pinned> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let (name, rest) = token.strip_prefix(PREFIX)?.split_once('.')?;
        let (payload, mac) = rest.split_once('.')?;
        let key = self.0.iter().find(|key| key.name == name)?;
        let mac = BASE64.decode(mac).ok()?;
        key.mac(payload, customer)?.verify_slice(&mac).ok()?;
        serde_json::from_slice(&BASE64.decode(payload).ok()?).ok()
    }
}

/// What a caller sent as its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sent {
    /// A token that verified.
    Token(Pinned),
    /// A name of the caller's own.
    Name(SessionId),
    /// Neither: a new session begins.
    Nothing,
}

/// Reads a session header. A token that does not verify is taken for none at all, not for a
/// name: it would pin a new session under a text that the caller is about to replace.
#[must_use]
pub fn read_header(keys: &Keys, customer: &CustomerId, header: Option<&str>) -> Sent {
    let Some(text) = header else {
        return Sent::Nothing;
    };
    if text.starts_with(PREFIX) {
        return keys
            .verify(customer, text)
            .map_or(Sent::Nothing, Sent::Token);
    }
    text.parse().map_or(Sent::Nothing, Sent::Name)
}
