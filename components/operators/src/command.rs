//! What the API asks of the control thread.
//!
//! A command carries the sender for its answer. The control thread answers reads at once
//! and edits when the store has answered; it never waits for an operator.

use std::sync::Arc;

use adminapi::bill::{BillsQuery, BillsReply};
use adminapi::edit::EditReply;
use adminapi::entry::{CatalogueReply, EntryReply, HistoryReply};
use adminapi::rollout::RolloutsReply;
use adminapi::status::StatusReply;
use catalogue::entry::Entry;
use types::prelude::*;

/// Where a command's answer goes.
#[derive(Debug, Clone)]
pub struct ReplyTo<T>(flume::Sender<T>);

impl<T> ReplyTo<T> {
    /// A sender, and the receiver that the request waits on.
    #[must_use]
    pub fn new() -> (Self, flume::Receiver<T>) {
        let (tx, rx) = flume::bounded(1);
        (Self(tx), rx)
    }

    /// Answers. An operator who no longer waits is no error.
    pub fn send(self, answer: T) {
        // Fails only when the request has timed out and dropped its receiver.
        let _ = self.0.try_send(answer);
    }
}

/// Hands a command to the control thread without waiting; false when it takes no more.
pub type Submit = Box<dyn Fn(Command) -> bool + Send + Sync>;

/// A question or an edit.
#[derive(Debug)]
pub enum Command {
    /// Every entry that stands.
    Catalogue(ReplyTo<CatalogueReply>),
    /// One entry, its removal marker included.
    Entry(EntryName, ReplyTo<Option<EntryReply>>),
    /// The edits of one entry.
    History(EntryName, ReplyTo<Option<HistoryReply>>),
    /// Put or remove an entry.
    Edit(Edit, ReplyTo<EditOutcome>),
    /// Lift a version's suspension, told in how many classes it had one. Not an edit: it
    /// spreads between daemons, also while the store is down.
    Lift(VersionId, ReplyTo<usize>),
    /// What became of an edit, nothing when this daemon has no trace of it.
    EditState(EditId, ReplyTo<Option<EditReply>>),
    /// Every roll-out.
    Rollouts(ReplyTo<RolloutsReply>),
    /// Who is in the fleet and which revision is in force where.
    Status(ReplyTo<StatusReply>),
    /// The state of the daemon.
    Dump(ReplyTo<serde_json::Value>),
    /// Bills, or why they cannot be read now.
    Bills(BillsQuery, ReplyTo<Result<BillsReply, String>>),
}

/// One edit of the catalogue.
#[derive(Debug, Clone, PartialEq)]
pub struct Edit {
    /// The entry.
    pub name: EntryName,
    /// What it shall say, or nothing to remove it.
    pub entry: Option<Arc<Entry>>,
    /// The revision that the operator saw; nothing: the entry must be absent.
    pub if_match: Option<Revision>,
    /// Who makes it.
    pub author: OperatorName,
    /// Tells it from others. The same id again is the same edit, never a second one.
    pub edit_id: EditId,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum EditOutcome {
    /// In the store.
    Applied {
        /// The revision that it made.
        revision: Revision,
    },
    /// The entry was not as the operator saw it. Nothing was written.
    Conflict {
        /// The entry as it stands, a removal marker included.
        current: Option<Box<EntryReply>>,
    },
    /// The entry breaks rules. Nothing was written.
    Invalid {
        /// Every problem found.
        problems: Vec<String>,
    },
    /// Certainly without effect, now and later.
    NotApplied {
        /// Why.
        reason: String,
    },
    /// May have taken effect or may still do so; asked again by its id.
    Unknown,
}
