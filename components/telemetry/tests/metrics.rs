//! Encoding and bounds of metrics, and errors in log settings.

use telemetry::labels::{AttemptOutcome, Direction, MemberState, Outcome, StoreCall, StoreOutcome};
use telemetry::logs::{self, Format};
use telemetry::metrics::{MAX_OFFERS, Metrics};
use types::prelude::*;

#[test]
fn can_encode_every_metric_with_units_and_labels() {
    let metrics = Metrics::new();
    let offer = metrics.offer("brief-writer");
    offer.ended(Outcome::Answered);
    offer.first_token(Span::from_millis(120));
    offer.between_tokens(Span::from_millis(20));
    metrics.attempt(AttemptOutcome::NotRun);
    metrics.refusal("rate_limit_exceeded");
    metrics.store_call(StoreCall::Txn, StoreOutcome::Unknown);
    metrics.set_peer_bytes(Direction::Sent, ByteSize(512));
    metrics.set_members(MemberState::Alive, 9);
    metrics.set_queue_fill("store", 16, 64);
    metrics.freshness_age.set(1.5);
    metrics.catalogue_revision.set(42);

    let text = metrics.encode();

    for line in [
        "buckthorncross_requests_total{offer=\"brief-writer\",outcome=\"answered\"} 1",
        "buckthorncross_first_token_seconds_count{offer=\"brief-writer\"} 1",
        "buckthorncross_between_tokens_seconds_sum{offer=\"brief-writer\"} 0.02",
        "buckthorncross_attempts_total{outcome=\"not_run\"} 1",
        "buckthorncross_refusals_total{code=\"rate_limit_exceeded\"} 1",
        "buckthorncross_store_calls_total{call=\"txn\",outcome=\"unknown\"} 1",
        "buckthorncross_peer_bytes_total{direction=\"sent\"} 512",
        "buckthorncross_members{state=\"alive\"} 9",
        "buckthorncross_queue_fill_ratios{queue=\"store\"} 0.25",
        "buckthorncross_freshness_age_seconds 1.5",
        "buckthorncross_catalogue_revision 42",
        "buckthorncross_bills_waiting 0",
    ] {
        assert!(text.lines().any(|l| l == line), "no {line:?} in:\n{text}");
    }
}

/// An operator's script adds and removes an offer with a new name every minute. If each name left a
/// dozen series behind, removed offers would fill the daemon's memory and the scrape within weeks.
#[test]
fn can_bound_series_when_offers_churn() {
    let metrics = Metrics::new();
    for i in 0..MAX_OFFERS * 4 {
        metrics
            .offer(&format!("offer-{i}"))
            .ended(Outcome::Answered);
    }

    let text = metrics.encode();
    let answered = text.lines().filter(|l| l.contains("outcome=\"answered\""));

    assert_eq!(answered.count(), MAX_OFFERS + 1);
    let rest = MAX_OFFERS * 3;
    let other =
        format!("buckthorncross_requests_total{{offer=\"other\",outcome=\"answered\"}} {rest}");
    assert!(text.lines().any(|l| l == other));
}

#[test]
fn errors_in_log_settings_name_the_accepted_forms() {
    let error = "xml".parse::<Format>().unwrap_err();
    assert_eq!(
        error.to_string(),
        "\"xml\" is not a log format; text and json are"
    );
    let error = logs::check_filter("info,peers=loud").unwrap_err();
    assert!(error.to_string().contains("info,peers=debug"), "{error}");
    assert!(logs::check_filter("warn,catalogue=debug").is_ok());
}
