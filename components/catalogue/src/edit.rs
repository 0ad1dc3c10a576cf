//! Edits of the catalogue, from a proposal to a correct verdict.
//!
//! An [`Edit`] and a [`Query`] do no I/O: they name the next call to the store and are given
//! its outcome. The hard case is a write whose reply is lost: it may have taken effect, or
//! may still do so after a read has returned the old value. "Not applied" is therefore
//! reported only once the head's mod revision has changed. The lost transaction has the old
//! one as a precondition, so it can no longer take effect.

mod attempt;
pub mod change;
mod editor;
mod exclusion;
mod judge;
mod query;
mod snapshot;

use std::sync::Arc;

use keyvalue::Request;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use types::prelude::*;

use crate::check::Problem;
use crate::diff::Difference;
use crate::entry::Entry;
use crate::record::Catalogue;

pub use crate::edit::attempt::Edit;
pub use crate::edit::editor::{Editor, MAX_WAITING, Output, Task, Ticket};
pub use crate::edit::query::Query;
pub(crate) use crate::edit::snapshot::Snapshot;

/// An edit that an operator proposes.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Id for later queries, made with [`make_id`].
    pub id: EditId,
    /// Name of the entry.
    pub name: EntryName,
    /// Precondition: the state that the operator saw.
    pub if_match: IfMatch,
    /// The new entry, or `None` to remove the entry.
    pub entry: Option<Arc<Entry>>,
    /// The operator who proposes the edit.
    pub author: OperatorName,
    /// Time of the proposal, for information only.
    pub at: WallTime,
}

/// Precondition of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IfMatch {
    /// The entry does not exist or was removed.
    Absent,
    /// The entry was last edited at this revision.
    Revision(Revision),
}

/// The outcome of an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Verdict {
    /// The edit is in the store and will not be reverted.
    Applied {
        /// The revision that the edit made.
        revision: Revision,
    },
    /// The precondition does not hold; the edit was not and will not be applied.
    Conflict {
        /// The entry's current revision; 0 when there is none.
        standing: Revision,
        /// The operator who made that revision.
        author: Option<OperatorName>,
        /// Differences between the current entry and the proposed one.
        differences: Vec<Difference>,
    },
    /// The entry breaks rules; the edit was not and will not be applied.
    Invalid {
        /// The rules that are broken, and where.
        problems: Vec<Problem>,
    },
    /// The edit was not and will not be applied.
    NotApplied {
        /// Why it was not applied.
        reason: String,
    },
    /// The edit may have been applied or may still be; its id can be queried again.
    Unknown {
        /// Why the outcome could not be determined.
        reason: String,
    },
}

/// What an [`Edit`] or a [`Query`] asks of its caller next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Make this call and pass back its outcome.
    Call(Request),
    /// Resume at this time.
    Wait(Time),
    /// Take this verdict; there are no further steps.
    Done(Verdict),
}

/// The state of the daemon by which the outcome of a call is judged.
#[derive(Debug, Clone, Copy)]
pub struct EditContext<'a> {
    /// The daemon's catalogue.
    pub catalogue: &'a Catalogue,
    /// The highest revision that any daemon reported; `None` while there are other daemons but
    /// this one lacks recent replies from them.
    ///
    /// A daemon that was paused or partitioned off cannot detect that a store was restored from an
    /// old copy. It would conclude that an edit was never made, or make one at a revision that the
    /// fleet has already used.
    pub fleet_revision: Option<Revision>,
}

impl EditContext<'_> {
    /// Returns the reason if no verdict may be based on a store with this head.
    ///
    /// Daemons first repair a store that was restored from an older copy. A verdict before the
    /// repair could mistake a lost write for one that never took effect, report a conflict with an
    /// entry that was replaced long ago, or reuse a revision that the fleet has seen.
    fn reason_to_wait(&self, head: Revision) -> Option<&'static str> {
        match self.fleet_revision {
            None => Some("no other daemon is in touch"),
            Some(fleet) if head < fleet.max(self.catalogue.highest_revision()) => {
                Some("the store is behind the daemons")
            }
            Some(_) => None,
        }
    }
}

/// Bits of an edit id that are random; the known revision is stored above them.
const BASE_SHIFT: u32 = 80;

/// Makes the id of a new edit. It contains the revision known at this time, so that a later
/// query needs to look only at edits after it.
pub fn make_id(known: Revision, rng: &mut impl Rng) -> EditId {
    let random = rng.random::<u128>() >> (u128::BITS - BASE_SHIFT);
    EditId(u128::from(known.0) << BASE_SHIFT | random)
}

/// Returns the revision known when an id was made; the edit can only have a later one. An id
/// not made by [`make_id`] may yield a revision past the head, and then all edits are searched.
fn base_revision(id: EditId, head: Revision) -> Revision {
    let base = u64::try_from(id.0 >> BASE_SHIFT).unwrap_or(u64::MAX);
    if base <= head.0 {
        Revision(base)
    } else {
        Revision(0)
    }
}
