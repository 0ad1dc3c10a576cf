//! What a request asks for, whoever carries it and however often it comes.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

/// Bytes of a content's name: nobody finds two contents of one name by trying.
const BYTES: usize = 16;

/// Names what a request asks for: customer, host, method, path and body.
///
/// Of bytes that callers send, by a hash that nobody can aim: one customer's content never has
/// the name of another's. What is added on the way is no part of it: the attempt's id, the
/// deadline, the model that was chosen.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Content([u8; BYTES]);

/// A text that names no content.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} names no content; it has 32 hexadecimal digits")]
pub struct ContentError(String);

impl Content {
    /// Of a request; `target` is the path with its query.
    #[must_use]
    pub fn of(customer: &str, host: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let host = host.to_ascii_lowercase();
        let mut hash = Sha256::new();
        let parts = [customer, &host, method, target].map(str::as_bytes);
        for part in parts.into_iter().chain([body]) {
            // With its length before it, no part can pass for the end of the one before.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let whole = hash.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&whole[..BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Content({self})")
    }
}

impl FromStr for Content {
    type Err = ContentError;

    fn from_str(text: &str) -> Result<Self, ContentError> {
        let wrong = || ContentError(text.to_owned());
        if text.len() != 2 * BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(wrong());
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| wrong())?;
        Ok(Self(number.to_be_bytes()))
    }
}
