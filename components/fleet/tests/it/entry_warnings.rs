//! Warnings about entries that another program wrote.

use fleet::EntryWarnings;
use types::prelude::*;

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

/// A program that renews its foreign entry several times a second filled the log.
#[test]
fn an_entry_that_is_written_again_is_reported_once() {
    let mut warnings = EntryWarnings::default();
    assert_eq!(warnings.record(at(0), "u1", "no address"), Some(0));
    let again = (1..1_000).filter_map(|n| warnings.record(at(n * 100), "u1", "no address"));
    assert_eq!(again.count(), 0);
    assert_eq!(warnings.record(at(100_000), "u1", "no version"), Some(0));
    warnings.forget("u1");
    assert_eq!(warnings.record(at(200_000), "u1", "no version"), Some(0));
}

/// Thousands of foreign entries at once, or one that changes all the time, would crowd out other
/// lines.
#[test]
fn few_of_many_foreign_entries_are_reported_and_the_others_counted() {
    let mut warnings = EntryWarnings::default();
    let record = |warnings: &mut EntryWarnings, from: u64| {
        let ids = (0..10_000).map(|n| format!("u{}", from + n));
        ids.filter_map(|id| warnings.record(at(from), &id, "no address"))
            .count()
    };
    assert_eq!(record(&mut warnings, 0), 8);
    assert_eq!(warnings.record(at(20_000), "other", "x"), Some(9_992));
    let changing = (0..10_000).map(|n| warnings.record(at(40_000), "u1", &format!("cause {n}")));
    assert_eq!(changing.flatten().count(), 8);
}
