//! Commands of the API to the control thread.
//!
//! A command carries the sender for its answer. The control thread answers reads at once
//! and edits when the store has answered; it never blocks on an operator's connection.

use std::sync::Arc;

use adminapi::bill::{BillsQuery, BillsReply};
use adminapi::edit::EditReply;
use adminapi::entry::{CatalogueReply, EntryReply, HistoryReply};
use adminapi::rollout::RolloutsReply;
use adminapi::status::StatusReply;
use catalogue::entry::Entry;
use types::prelude::*;

/// Sender for the answer to a command.
#[derive(Debug, Clone)]
pub struct ReplyTo<T>(flume::Sender<T>);

impl<T> ReplyTo<T> {
    /// Creates a sender and the receiver on which the request waits.
    #[must_use]
    pub fn new() -> (Self, flume::Receiver<T>) {
        let (tx, rx) = flume::bounded(1);
        (Self(tx), rx)
    }

    /// Sends the answer. It is no error if the request is no longer waiting.
    pub fn send(self, answer: T) {
        // Fails only when the request has timed out and dropped its receiver.
        let _ = self.0.try_send(answer);
    }
}

/// Passes a command to the control thread without blocking; returns false if its queue is full.
pub type Submit = Box<dyn Fn(Command) -> bool + Send + Sync>;

/// A query or an edit, with the sender for its answer.
#[derive(Debug)]
pub enum Command {
    /// Lists all existing entries.
    Catalogue(ReplyTo<CatalogueReply>),
    /// Reads one entry; a removed entry yields its removal marker.
    Entry(EntryName, ReplyTo<Option<EntryReply>>),
    /// Reads the past edits of one entry.
    History(EntryName, ReplyTo<Option<HistoryReply>>),
    /// Writes or removes an entry.
    Edit(Edit, ReplyTo<EditOutcome>),
    /// Lifts a version's suspensions; the answer is the number of classes in which it had one. This
    /// is no edit: daemons tell each other, so that it works while the store is down.
    LiftSuspension(VersionId, ReplyTo<usize>),
    /// Reads the outcome of an edit; the answer is `None` if this daemon does not know the edit.
    EditState(EditId, ReplyTo<Option<EditReply>>),
    /// Lists all roll-outs.
    Rollouts(ReplyTo<RolloutsReply>),
    /// Reads the members of the fleet and the revision in force at each.
    Status(ReplyTo<StatusReply>),
    /// Reads the daemon's internal state.
    Dump(ReplyTo<serde_json::Value>),
    /// Reads bills; the answer is an error text if they cannot be read now.
    Bills(BillsQuery, ReplyTo<Result<BillsReply, String>>),
}

/// One edit of the catalogue.
#[derive(Debug, Clone, PartialEq)]
pub struct Edit {
    /// Name of the entry.
    pub name: EntryName,
    /// New content of the entry, or `None` to remove it.
    pub entry: Option<Arc<Entry>>,
    /// Revision that the operator has read; `None` if the entry must not exist.
    pub if_match: Option<Revision>,
    /// Operator who makes the edit.
    pub author: OperatorName,
    /// Id of the edit. An edit sent again with the same id is applied at most once.
    pub edit_id: EditId,
}

/// Outcome of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum EditOutcome {
    /// Written to the store.
    Applied {
        /// Revision that the edit created.
        revision: Revision,
    },
    /// The entry's revision differs from `if_match`. Nothing was written.
    Conflict {
        /// Current entry or its removal marker; `None` if it never existed.
        current: Option<Box<EntryReply>>,
    },
    /// The entry violates rules of the catalogue. Nothing was written.
    Invalid {
        /// All problems found.
        problems: Vec<String>,
    },
    /// Had no effect and will have none.
    NotApplied {
        /// Why the edit was not applied.
        reason: String,
    },
    /// May have taken effect or may still do so; [`Command::EditState`] tells later.
    Unknown,
}
