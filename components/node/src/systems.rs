//! The systems that run over the control thread's tables, one file each.

pub mod catalogue;
pub mod hosts;
pub mod quality;
pub mod routing;
