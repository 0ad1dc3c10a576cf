//! Identity of a request's content, the same for every attempt, retry and daemon.

use std::fmt;
use std::str::FromStr;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

/// Bytes of a content's id: enough that nobody finds two contents with the same id by trying.
const ID_BYTES: usize = 16;

/// Identifies what a request asks for: customer, host, method, path and body.
///
/// It is a cryptographic hash of bytes that callers send, so nobody can craft a request with the
/// id of another customer's content. What is added on the way is not part of it: the attempt's
/// id, the deadline, the chosen model.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Content([u8; ID_BYTES]);

/// A text that is not a content id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a content id, which has 32 hexadecimal digits")]
pub struct ContentError(String);

impl Content {
    /// Computes the id of a request's content; `target` is the path with its query.
    #[must_use]
    pub fn of(customer: &str, host: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let host = host.to_ascii_lowercase();
        let mut hash = Sha256::new();
        let parts = [customer, &host, method, target].map(str::as_bytes);
        for part in parts.into_iter().chain([body]) {
            // The length prefix keeps bytes from moving between one part and the next unnoticed.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut bytes = [0; ID_BYTES];
        bytes.copy_from_slice(&digest[..ID_BYTES]);
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
        let invalid = || ContentError(text.to_owned());
        if text.len() != 2 * ID_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| invalid())?;
        Ok(Self(number.to_be_bytes()))
    }
}
