//! Findings in a configuration, and the differences between two.
//!
//! A configuration that daemons accept may still hold entries without effect and limits that
//! contradict each other. [`findings`] lists them by the rules of [`routes::RouteTable`]: of routes
//! with the same host and prefix the first is used, of services with the same name the last, and a
//! key belongs to the last customer that lists it. [`differences`] compares two configurations by
//! what they do, so that order, notation and entries without effect don't count.
//!
//! Nothing here reads a file or knows a wire format: a [`Place`] names an entry by its index, and
//! the crate that decoded the configuration translates it.

mod diff;
mod finding;
mod known;
mod limits;
mod listed;
mod shown;
mod unreachable;

pub use diff::{Change, Difference, FieldChange, Subject, differences, not_newer};
pub use finding::{Entry, Field, Finding, Place, Problem};
pub use known::{Known, RetryBound};
pub use listed::Listed;
pub use shown::shown_key;

use routes::Configuration;

/// Lists the entries without effect and the limits that contradict each other.
#[must_use]
pub fn findings(configuration: &Configuration, known: &Known) -> Listed<Finding> {
    let mut found = Listed::default();
    unreachable::check(configuration, &mut found);
    limits::check(configuration, known, &mut found);
    found
}
