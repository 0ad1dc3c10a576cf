//! When a request leaves a silent upstream, over simulated loads.

use std::sync::Arc;

use dispatch::{FirstEvents, SilentAttempt};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

const OBJECTIVE: Span = Span::from_millis(1_500);
const EXPECTED: Span = Span::from_millis(60);

/// Time to a first event, in ms: most engines answer at once, some read other prompts for long.
fn first_event_ms(busy_share: f64, rng: &mut impl Rng) -> f64 {
    match rng.random_bool(busy_share) {
        true => rng.random_range(500.0..4_000.0),
        false => rng.random_range(40.0..250.0),
    }
}

struct Played {
    /// Requests whose first event came within the objective.
    on_time: usize,
    /// Requests that were sent a second time.
    second: usize,
}

/// Plays requests one after another; each may leave its upstream once.
fn play(requests: usize, busy_share: f64, leaves: bool) -> Played {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut first_events = FirstEvents::default();
    let service: Arc<str> = Arc::from("engines");
    let mut played = Played {
        on_time: 0,
        second: 0,
    };
    for n in 0..requests {
        let arrived_at = Time::ZERO + Span::from_secs(n as u64);
        let leave_at = first_events.leave_at(&SilentAttempt {
            service: &service,
            objective: OBJECTIVE,
            arrived_at,
            sent_at: arrived_at,
            expected: EXPECTED,
        });
        let first = first_event_ms(busy_share, &mut rng);
        let left_ms = leave_at
            .filter(|_| leaves)
            .map(|at| at.since(arrived_at).as_millis() as f64);
        let total = match left_ms.filter(|left| first > *left) {
            Some(left) => {
                played.second += 1;
                let elapsed = Span::from_millis(left as u64);
                first_events.record_left(&service, OBJECTIVE, elapsed);
                let second = first_event_ms(busy_share, &mut rng);
                first_events.record(&service, OBJECTIVE, Span::from_millis(second as u64));
                left + second
            }
            None => {
                first_events.record(&service, OBJECTIVE, Span::from_millis(first as u64));
                first
            }
        };
        played.on_time += usize::from(total <= OBJECTIVE.as_millis() as f64);
    }
    played
}

/// Requests stay with a busy engine until it is too late for another one.
#[test]
fn a_second_attempt_starts_in_time_to_help() {
    let stays = play(2_000, 0.08, false);
    let leaves = play(2_000, 0.08, true);
    let late = |played: &Played| 2_000 - played.on_time;
    assert!(
        late(&leaves) * 3 < late(&stays),
        "{} late, {} without a second attempt",
        late(&leaves),
        late(&stays)
    );
    assert!(leaves.second < 200, "{} sent twice", leaves.second);
}

/// While all engines are busy, second attempts only add load.
#[test]
fn nothing_is_left_early_while_a_second_attempt_would_be_late() {
    let leaves = play(2_000, 0.5, true);
    assert!(leaves.second < 20, "{} sent twice", leaves.second);
}

/// A guess from a few samples leaves engines that are about to answer.
#[test]
fn nothing_is_left_early_before_enough_is_known() {
    let mut first_events = FirstEvents::default();
    let service: Arc<str> = Arc::from("engines");
    let attempt = SilentAttempt {
        service: &service,
        objective: OBJECTIVE,
        arrived_at: Time::ZERO,
        sent_at: Time::ZERO,
        expected: EXPECTED,
    };
    for _ in 0..19 {
        first_events.record(&service, OBJECTIVE, Span::from_millis(80));
    }
    assert_eq!(first_events.leave_at(&attempt), None);
    first_events.record(&service, OBJECTIVE, Span::from_millis(80));
    assert!(first_events.leave_at(&attempt).is_some());
}

/// An attempt that starts too late for a second one is left and sent again in vain.
#[test]
fn a_late_attempt_is_not_left_for_one_that_would_be_later() {
    let mut first_events = FirstEvents::default();
    let service: Arc<str> = Arc::from("engines");
    for _ in 0..64 {
        first_events.record(&service, OBJECTIVE, Span::from_millis(400));
    }
    let sent_at = Time::ZERO + Span::from_millis(900);
    let leave_at = first_events.leave_at(&SilentAttempt {
        service: &service,
        objective: OBJECTIVE,
        arrived_at: Time::ZERO,
        sent_at,
        expected: EXPECTED,
    });
    assert_eq!(leave_at, None);
}
