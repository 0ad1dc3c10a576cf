//! The catalogue's head and the other keys that the catalogue uses in the store.
//!
//! Every edit writes its entry's record and the head in one compare-and-swap transaction,
//! with the head's mod revision as precondition. Edits are therefore totally ordered,
//! revisions are dense, and any write of the head fences all transactions prepared before it.

use bytes::Bytes;
use keyvalue::{Compare, KeyValue, ModRevision, Op, Put, Range, Txn};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Largest number of latest edits listed in the head.
pub const RECENT_LENGTH: usize = 32;

/// Prefix of the names of void markers.
const VOID_PREFIX: &str = "void/";

/// Returns the name of the void marker of an edit, which states that the edit will never be
/// applied. The marker is a record without an entry, like a tombstone. It has a revision like
/// any edit, so it is replicated and is repaired in a store restored from an older copy.
///
/// # Panics
/// Never: an edit id is valid in a name.
#[must_use]
pub fn void_name(id: EditId) -> EntryName {
    EntryName::new(&format!("{VOID_PREFIX}{id}")).expect("hexadecimal digits are a name")
}

/// Whether a name is that of a void marker.
#[must_use]
pub fn is_void(name: &EntryName) -> bool {
    name.as_str().starts_with(VOID_PREFIX)
}

/// One edit in the catalogue's sequence of edits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that the edit made.
    pub revision: Revision,
    /// Name of the entry edited.
    pub name: EntryName,
    /// Id of the edit.
    pub edit_id: EditId,
}

/// The value of the head's key: the catalogue's revision and latest edits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the latest edit.
    pub revision: Revision,
    /// The latest edits, latest first, at most [`RECENT_LENGTH`].
    #[serde(default)]
    pub recent: Vec<Change>,
}

impl Head {
    /// Returns the head after one more edit.
    #[must_use]
    pub fn after(&self, change: Change) -> Self {
        let revision = change.revision;
        let all = std::iter::once(change).chain(self.recent.iter().cloned());
        Self {
            revision,
            recent: all.take(RECENT_LENGTH).collect(),
        }
    }

    /// Returns the edits after a revision, if the head still lists all of them.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Option<&[Change]> {
        let count = usize::try_from(self.revision.0.checked_sub(revision.0)?).ok()?;
        self.recent.get(..count)
    }
}

/// The head as read from the store, with its mod revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadHead {
    /// The head; the default when the key is absent.
    pub head: Head,
    /// Store revision of the head's last write; 0 when the key is absent.
    pub mod_revision: ModRevision,
}

/// The head in the store cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the store's {key} cannot be read: {message}; restore it or remove the catalogue")]
pub struct HeadError {
    key: String,
    message: String,
}

impl ReadHead {
    /// Parses the result of a range over the head's key.
    ///
    /// # Errors
    /// When the value is not a head.
    pub fn from_range(found: &[KeyValue]) -> Result<Self, HeadError> {
        let Some(pair) = found.first() else {
            return Ok(Self::default());
        };
        let head = serde_json::from_slice(&pair.value).map_err(|e| HeadError {
            key: pair.key.clone(),
            message: e.to_string(),
        })?;
        let mod_revision = pair.mod_revision;
        Ok(Self { head, mod_revision })
    }
}

/// The keys of one fleet's catalogue in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Creates the keys for the fleet with this name.
    #[must_use]
    pub fn new(cluster: &ClusterName) -> Self {
        Self {
            prefix: format!("/buckthorncross/{cluster}/catalogue/"),
        }
    }

    /// Returns the prefix of all keys of the catalogue.
    #[must_use]
    pub fn all(&self) -> &str {
        &self.prefix
    }

    /// Returns the head's key.
    #[must_use]
    pub fn head(&self) -> String {
        format!("{}head", self.prefix)
    }

    /// Returns the prefix of the entries' keys.
    #[must_use]
    pub fn entries(&self) -> String {
        format!("{}entries/", self.prefix)
    }

    /// Returns an entry's key.
    #[must_use]
    pub fn entry(&self, name: &EntryName) -> String {
        format!("{}entries/{name}", self.prefix)
    }

    /// Returns the name of the entry stored under a key, if it is an entry's key.
    #[must_use]
    pub fn name_of(&self, key: &str) -> Option<EntryName> {
        let rest = key.strip_prefix(&self.prefix)?;
        rest.strip_prefix("entries/")?.parse().ok()
    }

    /// Builds a transaction that reads the head and some entries at one store revision.
    #[must_use]
    pub fn read<'a>(&self, names: impl IntoIterator<Item = &'a EntryName>) -> Txn {
        Txn {
            success: self.read_ops(names),
            ..Txn::default()
        }
    }

    /// Builds the operations of [`Keys::read`].
    #[must_use]
    pub fn read_ops<'a>(&self, names: impl IntoIterator<Item = &'a EntryName>) -> Vec<Op> {
        let head = std::iter::once(self.head());
        let keys = head.chain(names.into_iter().map(|name| self.entry(name)));
        keys.map(|key| Op::Range(Range::key(key))).collect()
    }

    /// Builds the precondition that the head's mod revision is still this one.
    #[must_use]
    pub fn compare_head(&self, mod_revision: ModRevision) -> Compare {
        Compare::ModRevision(self.head(), mod_revision)
    }

    /// Builds the operation that writes the head.
    #[must_use]
    pub fn put_head(&self, head: &Head) -> Op {
        let json = serde_json::to_vec(head).unwrap_or_default();
        Op::Put(Put {
            key: self.head(),
            value: Bytes::from(json),
            lease: None,
        })
    }

    /// Builds the operation that writes an entry's record.
    #[must_use]
    pub fn put_entry(&self, name: &EntryName, json: Bytes) -> Op {
        Op::Put(Put {
            key: self.entry(name),
            value: json,
            lease: None,
        })
    }
}
