//! A list of bounded length.

use crate::finding::{Entry, Field, Finding, Place, Problem};

/// Most findings that are listed. A file may be wrong in each of a million keys, which would
/// take unbounded memory and output.
pub(crate) const MAX_FINDINGS: usize = 200;
/// Most differences that are listed; two configurations of the design size may differ in each of
/// their 1,000 customers.
pub(crate) const MAX_DIFFERENCES: usize = 10_000;

/// Items up to a bound, and the number of those beyond it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Listed<T> {
    /// The first items.
    pub items: Vec<T>,
    /// Number of items left out.
    pub left_out: usize,
}

impl<T> Default for Listed<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            left_out: 0,
        }
    }
}

impl<T> Listed<T> {
    /// Lists as many items as findings are listed, and counts the others.
    #[must_use]
    pub fn of_findings(items: impl IntoIterator<Item = T>) -> Self {
        let mut listed = Self::default();
        for item in items {
            listed.push_within(MAX_FINDINGS, || item);
        }
        listed
    }

    /// Turns each listed item into another.
    #[must_use]
    pub fn map<U>(self, f: impl FnMut(T) -> U) -> Listed<U> {
        Listed {
            items: self.items.into_iter().map(f).collect(),
            left_out: self.left_out,
        }
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds an item, or counts it if there are as many as the bound.
    pub(crate) fn push_within(&mut self, bound: usize, item: impl FnOnce() -> T) {
        if self.items.len() < bound {
            self.items.push(item());
        } else {
            self.left_out += 1;
        }
    }
}

impl Listed<Finding> {
    /// Adds a finding.
    pub(crate) fn report(
        &mut self,
        entry: Entry,
        field: Option<Field>,
        problem: impl FnOnce() -> Problem,
    ) {
        self.push_within(MAX_FINDINGS, || Finding {
            place: Place { entry, field },
            problem: problem(),
        });
    }
}
