//! What the operators' API says, as plain data.
//!
//! The daemon's server and the operators' tool both use these types, so that what one
//! writes the other reads. Replies may gain fields; readers ignore those they do not know.

pub mod bill;
pub mod edit;
pub mod entry;
pub mod error;
pub mod path;
pub mod rollout;
pub mod status;
