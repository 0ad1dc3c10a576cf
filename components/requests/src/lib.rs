//! Life cycle of a request, its attempts and claims.
//!
//! A request is admitted, claimed when it may run only once, attempted, and ends answered,
//! refused or unknown; what was answered is billed. Each state is a type, so that a request
//! cannot be attempted without the claim that it needs, be billed twice, or be called "not run"
//! after an attempt that may have run. What follows an attempt is decided from what is known
//! of its end, see [`step`].

pub mod attempt;
pub mod budget;
pub mod claim;
pub mod life;
pub mod refusal;
pub mod step;
