//! Request and reply types of the operators' API.
//!
//! The daemon's server and the operators' tool share these types, so that both sides agree on the
//! JSON. New versions may add fields to replies; readers ignore fields that they do not know.

pub mod bill;
pub mod edit;
pub mod entry;
pub mod error;
pub mod path;
pub mod rollout;
pub mod status;
