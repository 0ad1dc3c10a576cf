//! Ids, sizes, rates and times shared by every component.
//!
//! Every quantity has a type of its own, so that a count of tokens cannot be
//! passed where a sum of money is expected. All of them parse from and print to
//! the text that settings, the catalogue and the APIs use.

pub mod amount;
pub mod id;
pub mod prelude;
pub mod run;
pub mod time;
pub mod version;
