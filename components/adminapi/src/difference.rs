//! Where two entries differ, field by field.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Most differences listed; the rest is left out.
pub const MAX_DIFFERENCES: usize = 100;

/// One field that differs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Where, as `versions.2026-11.state`.
    pub field: String,
    /// As sent; null when absent.
    pub sent: Value,
    /// As it stands; null when absent.
    pub current: Value,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: sent {}, current {}",
            self.field, self.sent, self.current
        )
    }
}

/// Lists the fields in which two values differ, at most [`MAX_DIFFERENCES`].
#[must_use]
pub fn difference(sent: &Value, current: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    collect("", sent, current, &mut found);
    found.truncate(MAX_DIFFERENCES);
    found
}

fn collect(field: &str, sent: &Value, current: &Value, found: &mut Vec<Difference>) {
    if sent == current || found.len() >= MAX_DIFFERENCES {
        return;
    }
    let (Value::Object(sent_fields), Value::Object(current_fields)) = (sent, current) else {
        found.push(Difference {
            field: field.to_owned(),
            sent: sent.clone(),
            current: current.clone(),
        });
        return;
    };
    let names: BTreeSet<&String> = sent_fields.keys().chain(current_fields.keys()).collect();
    for name in names {
        let inner = if field.is_empty() {
            name.clone()
        } else {
            format!("{field}.{name}")
        };
        let sent = sent_fields.get(name).unwrap_or(&Value::Null);
        let current = current_fields.get(name).unwrap_or(&Value::Null);
        collect(&inner, sent, current, found);
    }
}
