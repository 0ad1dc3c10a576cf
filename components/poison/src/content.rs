//! What of a request may crash upstreams, the same for every attempt, retry and daemon: its whole
//! content, and the parts of its prompt that other requests carry as well.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

/// Bytes of a content's id: enough that nobody finds two contents with the same id by trying.
const ID_BYTES: usize = 16;
/// First bytes of the id of a prompt's part, which no hash is expected to begin with.
const PART_TAG: [u8; 8] = *b"\0prompt\0";
/// Parts of one prompt tracked at most.
const MAX_PARTS: usize = 16;

/// Identifies what a request asks for, or a part of its prompt.
///
/// For a whole request it is a cryptographic hash of customer, host, method, path and body, so
/// nobody can craft a request with the id of another customer's content. What is added on the way
/// is not part of it: the attempt's id, the deadline, the chosen model. A part of a prompt has the
/// same id in the requests of all customers.
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

    /// Returns the id of a prompt's part.
    #[must_use]
    pub fn of_part(part: u64) -> Self {
        let mut bytes = [0; ID_BYTES];
        bytes[..PART_TAG.len()].copy_from_slice(&PART_TAG);
        bytes[PART_TAG.len()..].copy_from_slice(&part.to_be_bytes());
        Self(bytes)
    }

    /// Whether this is a part of prompts rather than a whole request.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_TAG)
    }
}

/// The contents of one request: the request as a whole, and the shared parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contents {
    whole: Content,
    parts: Arc<[Content]>,
}

impl Contents {
    /// Combines a request's content with the ids of the shared parts of its prompt, of which a
    /// bounded number is kept.
    #[must_use]
    pub fn new(whole: Content, parts: impl IntoIterator<Item = u64>) -> Self {
        let parts = parts.into_iter().take(MAX_PARTS).map(Content::of_part);
        Self {
            whole,
            parts: parts.collect(),
        }
    }

    /// The request as a whole.
    #[must_use]
    pub fn whole(&self) -> Content {
        self.whole
    }

    /// The request as a whole, then the parts of its prompt.
    pub fn iter(&self) -> impl Iterator<Item = Content> {
        std::iter::once(self.whole).chain(self.parts.iter().copied())
    }

    /// Whether the request is or carries a content.
    #[must_use]
    pub fn contains(&self, content: Content) -> bool {
        self.iter().any(|own| own == content)
    }
}

impl fmt::Display for Contents {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.whole)?;
        self.parts.iter().try_for_each(|part| write!(f, "+{part}"))
    }
}

impl From<Content> for Contents {
    fn from(whole: Content) -> Self {
        Self::new(whole, [])
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
