//! Life cycle of a request, its attempts and claims.
//!
//! A request is admitted, claimed if it may run at most once, and attempted. It ends answered,
//! refused or with an unknown outcome; an answered request is billed. Each state is a type, so
//! that a request cannot be attempted without the claim that it needs, be billed twice, or be
//! reported as "not run" after an attempt that may have run. [`step`] decides what follows an
//! attempt from how it ended.

pub mod attempt;
pub mod budget;
pub mod claim;
pub mod life;
pub mod refusal;
pub mod step;
