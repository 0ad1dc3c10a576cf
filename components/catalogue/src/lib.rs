//! Catalogue of entries: validation rules, revisions, edits and replication.
//!
//! The catalogue is a sequence of edits with dense revisions. Each edit puts or
//! removes one entry. A daemon holds the latest record of every entry. Applying records in
//! any order, any number of times, yields the same catalogue, since a record only replaces
//! one of lower rank.

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
