//! Field-by-field differences between two entries, shown to operators.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::entry::Entry;

/// Largest number of differences listed; a further last one gives the number left out.
pub const MAX_DIFFERENCES: usize = 64;

/// One field in which two entries differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Key of the field, such as `versions.2026-11.state`; empty for the whole entry.
    pub key: String,
    /// Current value; `None` when the field is absent.
    pub standing: Option<Value>,
    /// Proposed value; `None` when the field is absent.
    pub proposed: Option<Value>,
}

/// Returns the fields in which the current entry and the proposed one differ.
#[must_use]
pub fn between(standing: Option<&Entry>, proposed: Option<&Entry>) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", to_value(standing), to_value(proposed), &mut found);
    let more = found.len().saturating_sub(MAX_DIFFERENCES);
    found.truncate(MAX_DIFFERENCES);
    if more > 0 {
        found.push(Difference {
            key: format!("and {more} more"),
            standing: None,
            proposed: None,
        });
    }
    found
}

fn to_value(entry: Option<&Entry>) -> Option<Value> {
    entry.and_then(|entry| serde_json::to_value(entry).ok())
}

fn compare(key: &str, standing: Option<Value>, proposed: Option<Value>, to: &mut Vec<Difference>) {
    match (standing, proposed) {
        (standing, proposed) if standing == proposed => {}
        (Some(Value::Object(mut left)), Some(Value::Object(mut right))) => {
            let keys: BTreeSet<String> = left.keys().chain(right.keys()).cloned().collect();
            for field in keys {
                let dot = if key.is_empty() { "" } else { "." };
                let path = format!("{key}{dot}{field}");
                compare(&path, left.remove(&field), right.remove(&field), to);
            }
        }
        (standing, proposed) => to.push(Difference {
            key: key.to_owned(),
            standing,
            proposed,
        }),
    }
}
