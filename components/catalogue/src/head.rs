//! The catalogue's head in the store and the keys around it.
//!
//! Every edit writes its entry's record and the head in one transaction that compares
//! the head's last write. So edits are totally ordered, revisions are dense, and any
//! write of the head fences all transactions that were prepared before it.

use bytes::Bytes;
use keyvalue::{Compare, KeyValue, ModRevision, Op, Put, Range, Txn};
use serde::{Deserialize, Serialize};
use types::prelude::*;

/// Latest edits that the head names.
pub const RECENT_LENGTH: usize = 32;

/// Prefix of the markers of edits that were given up for good.
const VOID: &str = "void/";

/// The marker of an edit that was given up: a record without an entry, as of something
/// removed. It has a revision like any edit, so it spreads, and a store that was
/// restored from an older copy gets it back.
///
/// # Panics
/// Never: an id is a name.
#[must_use]
pub fn void_name(id: EditId) -> EntryName {
    EntryName::new(&format!("{VOID}{id}")).expect("hexadecimal digits are a name")
}

/// Whether a name is that of such a marker.
#[must_use]
pub fn is_void(name: &EntryName) -> bool {
    name.as_str().starts_with(VOID)
}

/// One edit of the sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: Revision,
    /// The entry.
    pub name: EntryName,
    /// Its id.
    pub edit_id: EditId,
}

/// What the head's key holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The latest edit's revision.
    pub revision: Revision,
    /// The latest edits, latest first, at most [`RECENT_LENGTH`].
    #[serde(default)]
    pub recent: Vec<Change>,
}

impl Head {
    /// The head after one more edit.
    #[must_use]
    pub fn after(&self, change: Change) -> Self {
        let revision = change.revision;
        let all = std::iter::once(change).chain(self.recent.iter().cloned());
        Self {
            revision,
            recent: all.take(RECENT_LENGTH).collect(),
        }
    }

    /// Edits after a revision, if the head still names them all.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Option<&[Change]> {
        let count = usize::try_from(self.revision.0.checked_sub(revision.0)?).ok()?;
        self.recent.get(..count)
    }
}

/// The head as read, with its last write in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadHead {
    /// Its content; the default when the key is absent.
    pub head: Head,
    /// Its last write; 0 when absent.
    pub at: ModRevision,
}

/// A value in the store that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the store's {key} cannot be read: {message}; restore it or remove the catalogue")]
pub struct HeadError {
    key: String,
    message: String,
}

impl ReadHead {
    /// From a range of the head's key.
    ///
    /// # Errors
    /// When the value is no head.
    pub fn from_range(found: &[KeyValue]) -> Result<Self, HeadError> {
        let Some(pair) = found.first() else {
            return Ok(Self::default());
        };
        let head = serde_json::from_slice(&pair.value).map_err(|e| HeadError {
            key: pair.key.clone(),
            message: e.to_string(),
        })?;
        let at = pair.mod_revision;
        Ok(Self { head, at })
    }
}

/// Keys of one fleet's catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Keys {
    prefix: String,
}

impl Keys {
    /// Of a fleet.
    #[must_use]
    pub fn new(cluster: &ClusterName) -> Self {
        Self {
            prefix: format!("/buckthorncross/{cluster}/catalogue/"),
        }
    }

    /// Prefix of all keys of the catalogue.
    #[must_use]
    pub fn all(&self) -> &str {
        &self.prefix
    }

    /// The head's key.
    #[must_use]
    pub fn head(&self) -> String {
        format!("{}head", self.prefix)
    }

    /// Prefix of the entries' keys.
    #[must_use]
    pub fn entries(&self) -> String {
        format!("{}entries/", self.prefix)
    }

    /// An entry's key.
    #[must_use]
    pub fn entry(&self, name: &EntryName) -> String {
        format!("{}entries/{name}", self.prefix)
    }

    /// The entry that a key is of.
    #[must_use]
    pub fn name_of(&self, key: &str) -> Option<EntryName> {
        let rest = key.strip_prefix(&self.prefix)?;
        rest.strip_prefix("entries/")?.parse().ok()
    }

    /// Reads the head and entries at one moment.
    #[must_use]
    pub fn read<'a>(&self, names: impl IntoIterator<Item = &'a EntryName>) -> Txn {
        Txn {
            success: self.read_ops(names),
            ..Txn::default()
        }
    }

    /// The steps of [`Keys::read`].
    #[must_use]
    pub fn read_ops<'a>(&self, names: impl IntoIterator<Item = &'a EntryName>) -> Vec<Op> {
        let head = std::iter::once(self.head());
        let keys = head.chain(names.into_iter().map(|name| self.entry(name)));
        keys.map(|key| Op::Range(Range::key(key))).collect()
    }

    /// Holds while the head's last write is this one.
    #[must_use]
    pub fn compare_head(&self, at: ModRevision) -> Compare {
        Compare::ModRevision(self.head(), at)
    }

    /// Writes the head.
    #[must_use]
    pub fn put_head(&self, head: &Head) -> Op {
        let json = serde_json::to_vec(head).unwrap_or_default();
        Op::Put(Put {
            key: self.head(),
            value: Bytes::from(json),
            lease: None,
        })
    }

    /// Writes an entry's record.
    #[must_use]
    pub fn put_entry(&self, name: &EntryName, json: Bytes) -> Op {
        Op::Put(Put {
            key: self.entry(name),
            value: json,
            lease: None,
        })
    }
}
