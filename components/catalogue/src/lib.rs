//! Entries, their rules, revisions and edits, and how they spread.
//!
//! The catalogue is a sequence of edits with dense revisions. Each edit puts or
//! removes one entry. A daemon holds the latest record of every entry; applying
//! records in any order, any number of times, ends in the same catalogue, since a
//! record only ever replaces one of a lower revision.

pub mod check;
pub mod diff;
pub mod edit;
pub mod entry;
pub mod file;
pub mod head;
pub mod record;
pub mod sync;
pub mod table;
pub mod view;
