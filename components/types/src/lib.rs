//! Types for ids, sizes, rates and times, shared by all components.
//!
//! Each quantity has its own type, so that a number of tokens cannot be passed where an amount of
//! money is expected. All types parse and print the text form that settings, the catalogue and the
//! APIs use.

pub mod amount;
pub mod id;
pub mod prelude;
pub mod run;
pub mod time;
pub mod version;
