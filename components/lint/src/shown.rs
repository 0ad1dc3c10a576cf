//! How values are shown.

use routes::{ApiKey, Retry, Route};

/// Characters of a key that are shown.
const SHOWN_CHARS: usize = 4;

/// Characters of another entry's name that are shown. A name may be as long as the file, and each of
/// thousands of entries may refer to it.
const SHOWN_NAME_CHARS: usize = 100;

/// The first characters of a key's text. Of one that is no longer than those, only the first is
/// shown.
#[must_use]
pub fn shown_key(text: &str) -> String {
    let is_longer = text.chars().nth(SHOWN_CHARS).is_some();
    let count = if is_longer { SHOWN_CHARS } else { 1 };
    let shown = text.chars().take(count).collect::<String>();
    format!("{shown}…")
}

pub(crate) fn key(key: &ApiKey) -> String {
    shown_key(key.as_str())
}

/// The name of another entry, shortened if it is long.
pub(crate) fn name(name: &str) -> String {
    match name.char_indices().nth(SHOWN_NAME_CHARS) {
        Some((end, _)) => format!("{}…", &name[..end]),
        None => name.to_owned(),
    }
}

pub(crate) fn retry(retry: Retry) -> &'static str {
    match retry {
        Retry::Any => "idempotent",
        Retry::Never => "not idempotent",
        Retry::Stream { resumable: true } => "stream, resumable",
        Retry::Stream { resumable: false } => "stream, not resumable",
    }
}

/// The shares of a route's services in lowest terms, by service.
pub(crate) fn targets(route: &Route) -> String {
    let mut weights = std::collections::BTreeMap::<&str, u64>::new();
    for target in route.targets.iter().filter(|target| target.weight > 0) {
        *weights.entry(&target.service).or_default() += u64::from(target.weight);
    }
    let divisor = weights.values().copied().fold(0, gcd).max(1);
    let shares = weights.iter().map(|(service, weight)| {
        let weight = weight / divisor;
        match weights.len() {
            1 => (*service).to_owned(),
            _ => format!("{service} {weight}"),
        }
    });
    shares.collect::<Vec<_>>().join(", ")
}

fn gcd(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { gcd(b, a % b) }
}
