//! Versions that turn bad.

use standins::engine::EngineConfig;
use standins::platform::PlatformConfig;
use standins::rater::RaterConfig;
use types::prelude::*;

use super::harness::{Harness, ask};

/// Requests after which a suspension that has not come will not come.
const MOST_REQUESTS: usize = 4000;

#[test]
fn can_suspend_a_version_whose_answers_are_bad() {
    // A version's answers are wrong six times in ten. Callers would get them for days;
    // ratings of a sample tell, and the version gets nothing more.
    let rater = RaterConfig {
        lag: Span::ZERO,
        default_quality: 0.4,
        ..RaterConfig::default()
    };
    let engine = EngineConfig {
        answer_tokens: 8,
        ..EngineConfig::default()
    };
    let harness = Harness::start(&PlatformConfig {
        rater,
        engine,
        ..PlatformConfig::default()
    });
    let mut statuses = (0..MOST_REQUESTS).map(|index| {
        let mut body = ask("answers", false, 8);
        body["messages"][0]["content"] = format!("What may salon {index} charge?").into();
        harness.chat(&body).status().as_u16()
    });
    assert_eq!(statuses.find(|status| *status != 200), Some(503));
}
