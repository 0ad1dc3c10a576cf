//! Edits of the catalogue: from a proposal to a verdict that is true.
//!
//! An [`Edit`] and a [`Query`] are pure: they say which call to make next and are given
//! its outcome. The hard case is a write whose reply is lost: it may have taken effect,
//! or may do so later, after a read has shown the old value. "Not applied" is said only
//! once the head's last write has moved on, so that the lost transaction, which compares
//! it, can never land.

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
pub(crate) use crate::edit::snapshot::Reading;

/// What an operator wants.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// To ask by later; made with [`make_id`].
    pub id: EditId,
    /// The entry.
    pub name: EntryName,
    /// What the operator saw.
    pub if_match: IfMatch,
    /// The new entry, or nothing to remove it.
    pub entry: Option<Arc<Entry>>,
    /// The operator.
    pub author: OperatorName,
    /// When, for people.
    pub at: WallTime,
}

/// What must stand for an edit to apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IfMatch {
    /// No entry, or one that was removed.
    Absent,
    /// The entry at this revision.
    Revision(Revision),
}

/// How an edit ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Verdict {
    /// In the store, and never reverts.
    Applied {
        /// The revision that it made.
        revision: Revision,
    },
    /// Something else stands; nothing was applied and nothing will be.
    Conflict {
        /// The revision that stands; 0 when no entry does.
        standing: Revision,
        /// Who made it.
        author: Option<OperatorName>,
        /// Where it differs from the proposal.
        differences: Vec<Difference>,
    },
    /// The entry breaks rules; nothing was applied and nothing will be.
    Invalid {
        /// Which.
        problems: Vec<Problem>,
    },
    /// Nothing was applied and nothing will be.
    NotApplied {
        /// Why.
        reason: String,
    },
    /// It may be applied, now or later; ask again by the id.
    Unknown {
        /// Why nothing better is known.
        reason: String,
    },
}

/// What a machine needs next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Make this call and bring back its outcome.
    Call(Request),
    /// Ask again then.
    Wait(Time),
    /// Done.
    Done(Verdict),
}

/// What a daemon knows when the outcome of a call comes.
#[derive(Debug, Clone, Copy)]
pub struct Known<'a> {
    /// Its catalogue.
    pub catalogue: &'a Catalogue,
    /// The highest revision that any daemon told of; nothing while this daemon has not
    /// heard from others lately though there are some.
    ///
    /// Guards against a store restored from an old copy, asked by a daemon that was
    /// paused or cut off and so does not know that the copy is old: it would take an
    /// edit for never made, or make one at a revision that the fleet has had.
    pub fleet: Option<Revision>,
}

impl Known<'_> {
    /// Why nothing can be concluded from a store with this head.
    ///
    /// A store restored from an older copy is put right by the daemons first. Judged
    /// before, a lost write would pass for one that never landed, an edit would conflict
    /// with what has long been replaced, or take a revision that the fleet has seen.
    fn cannot_judge(&self, head: Revision) -> Option<&'static str> {
        match self.fleet {
            None => Some("no other daemon is in touch"),
            Some(fleet) if head < fleet.max(self.catalogue.highest()) => {
                Some("the store is behind the daemons")
            }
            Some(_) => None,
        }
    }
}

const BASE_SHIFT: u32 = 80;

/// A new edit's id. It holds the revision known when it was made, so that the edits
/// among which it may be found later are few.
pub fn make_id(known: Revision, rng: &mut impl Rng) -> EditId {
    let random = rng.random::<u128>() >> (u128::BITS - BASE_SHIFT);
    EditId(u128::from(known.0) << BASE_SHIFT | random)
}

/// The revision known when an id was made. Edits by it can only be later ones. An id
/// made otherwise gives no revision that makes sense, and then all are looked at.
fn base_of(id: EditId, head: Revision) -> Revision {
    let base = u64::try_from(id.0 >> BASE_SHIFT).unwrap_or(u64::MAX);
    if base <= head.0 {
        Revision(base)
    } else {
        Revision(0)
    }
}
