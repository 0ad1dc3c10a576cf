//! The systems that update the control thread's tables, one file each.

pub mod catalogue;
pub mod hosts;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod quality;
pub(crate) mod rollout;
pub mod routing;
