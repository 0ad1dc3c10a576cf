//! Tests of the estimate, the reports and their merging.

use pace::{
    Baseline, Estimate, MAX_REPORTS, Pace, PaceReport, PaceUpdate, Paces, ReporterKey, Rotation,
    UpdateVersion, UpstreamKey,
};
use proptest::prelude::*;
use types::prelude::{Incarnation, Span, Time};

fn at(secs: u64) -> Time {
    Time::ZERO + Span::from_secs(secs)
}

fn key(number: u32) -> UpstreamKey {
    UpstreamKey(number)
}

fn update(daemon: u64, clock_ms: u64, reports: Vec<PaceReport>) -> PaceUpdate {
    PaceUpdate {
        reporter: ReporterKey(daemon),
        version: UpdateVersion {
            run: Incarnation(1),
            clock_ms,
        },
        reports,
    }
}

fn report(upstream: u32, pace: f64, weight: f64) -> PaceReport {
    PaceReport::new(key(upstream), Pace::new(pace), weight)
}

fn listed(count: u32) -> Paces {
    let mut paces = Paces::default();
    paces.set_listed((0..count).map(key));
    paces
}

// With a mean of times, one answer of ten times the usual length would make an upstream slow.
#[test]
fn an_estimate_decays_and_is_clamped() {
    let mut estimate = Estimate::default();
    assert_eq!(estimate.pace(), Pace::USUAL);
    for ratio in [f64::NAN, 0.0, -1.0, f64::INFINITY] {
        estimate.record(at(0), ratio);
    }
    assert_eq!(estimate.weight(at(0)), 0.0);
    estimate.record(at(0), 1e9);
    assert!((estimate.pace().get() - 0.3).abs() < 1e-9);
    assert!((estimate.weight(at(20)) - 0.5).abs() < 1e-9);
    for _ in 0..9 {
        estimate.record(at(20), 1.0);
    }
    assert!(estimate.pace().get() > 0.9);
}

// An expectation that is wrong for all upstreams alike would make all of them slow.
#[test]
fn a_baseline_follows_what_is_usual() {
    let mut baseline = Baseline::default();
    assert_eq!(baseline.record(3.0), Some(1.0));
    for _ in 0..200 {
        baseline.record(3.0);
    }
    let ratio = baseline.record(6.0).expect("positive");
    assert!((1.9..=2.0).contains(&ratio), "{ratio}");
    assert_eq!(baseline.record(f64::NAN), None);
}

// Heartbeats arrive twice or out of order; samples that count twice would outweigh others.
#[test]
fn late_and_duplicate_updates_change_nothing() {
    let mut paces = listed(1);
    for daemon in 0..8 {
        paces.merge(at(1), &update(daemon, 10, vec![report(0, 0.5, 2.0)]));
    }
    paces.refresh(at(1));
    let once = paces.pace(key(0));
    assert!(paces.is_slow(key(0)));
    for daemon in 0..8 {
        paces.merge(at(1), &update(daemon, 10, vec![report(0, 0.5, 2.0)]));
        paces.merge(at(1), &update(daemon, 9, vec![report(0, 3.0, 2.0)]));
    }
    paces.refresh(at(2));
    assert!((paces.pace(key(0)).get() - once.get()).abs() < 0.02);
}

// A single daemon with a fault would turn the fleet away from an upstream, for ever.
#[test]
fn a_false_report_moves_little_and_decays() {
    let mut paces = listed(1);
    for daemon in 0..6 {
        paces.merge(at(0), &update(daemon, 10, vec![report(0, 1.0, 2.0)]));
    }
    paces.merge(at(0), &update(9, 10, vec![report(0, 0.3, 31.0)]));
    paces.refresh(at(0));
    let moved = paces.pace(key(0)).get();
    assert!((0.8..1.0).contains(&moved), "{moved}");
    assert!(!paces.is_slow(key(0)));
    paces.refresh(at(61));
    assert_eq!(paces.pace(key(0)), Pace::USUAL);
}

// What a daemon has measured itself can't be false.
#[test]
fn own_samples_count_more_than_reported_ones() {
    let mut paces = listed(1);
    paces.record(at(0), key(0), 2.0);
    paces.merge(at(0), &update(1, 10, vec![report(0, 2.0, 1.0)]));
    paces.refresh(at(0));
    assert!(paces.pace(key(0)).get() < 0.95);
}

// An upstream that restarts has another key; the former run's pace must be forgotten.
#[test]
fn an_upstream_that_is_no_longer_listed_is_forgotten() {
    let mut paces = listed(2);
    paces.record(at(0), key(0), 3.0);
    paces.set_listed([key(1)].into_iter());
    paces.set_listed([key(0), key(1)].into_iter());
    paces.refresh(at(0));
    assert_eq!(paces.pace(key(0)), Pace::USUAL);
    paces.record(at(0), key(7), 3.0);
    paces.merge(at(0), &update(1, 10, vec![report(7, 0.3, 9.0)]));
    paces.refresh(at(1));
    assert_eq!(paces.pace(key(7)), Pace::USUAL);
}

// A fleet before even upstreams would pay for reports that say nothing.
#[test]
fn reports_are_sent_only_where_a_pace_differs() {
    let mut paces = listed(3);
    for upstream in 0..3 {
        for _ in 0..10 {
            paces.record(at(0), key(upstream), 1.02);
        }
    }
    paces.refresh(at(0));
    assert!(paces.reports(at(0)).is_empty());
    for _ in 0..10 {
        paces.record(at(0), key(2), 2.0);
    }
    paces.refresh(at(1));
    assert_eq!(paces.reports(at(1)).len(), 3);
}

// With more upstreams than fit a message, those at the end would never be reported.
#[test]
fn all_upstreams_are_reported_in_turn() {
    let reports = (0..90).map(|n| report(n * 7, 1.0, 1.0)).collect::<Vec<_>>();
    let mut rotation = Rotation::default();
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..6 {
        let taken = rotation.take(&reports);
        assert!(taken.len() <= MAX_REPORTS);
        seen.extend(taken.iter().map(|report| report.upstream));
    }
    assert_eq!(seen.len(), 90);
    assert!(rotation.take(&[]).is_empty());
}

proptest! {
    // Values of peers are whatever their bytes say.
    #[test]
    fn merged_paces_stay_within_the_clamp(
        updates in prop::collection::vec(
            (0_u64..40, 0_u64..100, 0_u32..4, 0.0_f64..9.0, 0.0_f64..99.0, 0_u64..50), 0..200),
    ) {
        let mut paces = listed(4);
        for (daemon, clock_ms, upstream, pace, weight, secs) in updates {
            paces.merge(at(secs), &update(daemon, clock_ms, vec![report(upstream, pace, weight)]));
            paces.refresh(at(secs));
            let pace = paces.pace(key(upstream));
            prop_assert!(pace >= Pace::MIN && pace <= Pace::MAX);
            prop_assert!(paces.summary().slow <= 4);
        }
    }

    #[test]
    fn a_report_keeps_its_pace_within_a_hundredth(pace in 0.3_f64..3.0, weight in 0.0_f64..31.0) {
        let sent = report(0, pace, weight);
        prop_assert!((sent.pace().get() / pace - 1.0).abs() < 0.01);
        prop_assert!((sent.weight() - weight).abs() < 0.1);
    }
}
