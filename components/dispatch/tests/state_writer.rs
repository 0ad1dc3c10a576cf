//! Tests of writing a roll-out's state.

use dispatch::StateWriter;
use routes::RolloutState;
use types::prelude::*;

fn at(secs: f64) -> Time {
    Time::ZERO + Span::from_secs_f64(secs)
}

/// A writer whose acknowledgement of the order is recorded.
fn writer() -> StateWriter {
    let mut writer = StateWriter::new(Time::ZERO);
    assert_eq!(
        writer.start_write(Time::ZERO, 0),
        Some(RolloutState::Running)
    );
    writer.on_written(at(0.1));
    writer.on_recorded(RolloutState::Running);
    writer
}

/// A writer whose verdict changed from good to bad while a completion's write was in flight.
fn writer_of_withdrawn_completion() -> StateWriter {
    let mut writer = writer();
    assert!(writer.want(at(10.0), RolloutState::Completed, RolloutState::Running));
    let started = writer.start_write(at(11.0), 0);
    assert_eq!(started, Some(RolloutState::Completed));
    assert!(writer.want(at(11.1), RolloutState::Reverted, RolloutState::Running));
    writer
}

#[test]
fn a_recorded_completion_cancels_a_wanted_reversal() {
    // Guards against a reversal that follows a completion whose write was in flight.
    let mut writer = writer_of_withdrawn_completion();
    writer.on_recorded(RolloutState::Completed);
    writer.on_written(at(11.5));
    assert_eq!(writer.start_write(at(20.0), 0), None);
}

#[test]
fn a_withdrawn_verdict_is_not_retried() {
    // Guards against a completion that is written again after its version was found bad.
    let mut writer = writer_of_withdrawn_completion();
    assert!(!writer.want(at(11.2), RolloutState::Completed, RolloutState::Running));
    writer.on_written(at(12.6));
    let retried = writer.start_write(at(13.1), 0);
    assert_eq!(retried, Some(RolloutState::Reverted));
}
