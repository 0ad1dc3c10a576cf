//! Rules that types cannot say.

use std::fmt;

use types::prelude::*;

use crate::model::Settings;

const MIN_SECRET: usize = 16;
const MIN_TICK: Span = Span::from_millis(10);
const MAX_TICK: Span = Span::from_secs(2);

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The key, such as `callers.threads`.
    pub key: &'static str,
    /// What it must be.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.key, self.expected)
    }
}

/// Finds every broken rule.
pub(crate) fn check(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut rule = |holds: bool, key: &'static str, expected: &str| {
        if !holds {
            problems.push(Problem {
                key,
                expected: expected.to_owned(),
            });
        }
    };
    let callers = &settings.callers;
    rule(
        (1..=64).contains(&callers.threads),
        "callers.threads",
        "1 to 64",
    );
    rule(
        callers.max_connections > 0,
        "callers.max_connections",
        "at least 1",
    );
    rule(
        callers.max_in_flight > 0,
        "callers.max_in_flight",
        "at least 1",
    );
    rule(
        callers.max_head.0 >= 8192,
        "callers.max_head",
        "at least 8KiB",
    );
    rule(
        callers.max_body.0 > 0,
        "callers.max_body",
        "more than nothing",
    );
    rule(
        callers.head_timeout > Span::ZERO,
        "callers.head_timeout",
        "more than 0s",
    );
    rule(
        callers.body_timeout > Span::ZERO,
        "callers.body_timeout",
        "more than 0s",
    );
    rule(
        callers.write_timeout > Span::ZERO,
        "callers.write_timeout",
        "more than 0s",
    );
    rule(
        !settings.operators.tokens.is_empty(),
        "operators.tokens",
        "a token for an operator",
    );
    let tokens = settings.operators.tokens.values();
    rule(
        tokens.clone().all(|token| token.len() >= 8),
        "operators.tokens",
        "8 characters or more",
    );
    rule(
        !settings.store.endpoints.is_empty(),
        "store.endpoints",
        "at least one address",
    );
    rule(
        settings.store.timeout > Span::ZERO,
        "store.timeout",
        "more than 0s",
    );
    rule(
        !settings.peers.keys.is_empty(),
        "peers.keys",
        "at least one key",
    );
    let mut secrets = settings.peers.keys.iter().map(|key| key.secret.len());
    rule(
        secrets.all(|len| len >= MIN_SECRET),
        "peers.keys",
        "secrets of 16 characters or more",
    );
    let unreachable =
        settings.peers.advertise.is_none() && settings.peers.listen.ip().is_unspecified();
    rule(
        !unreachable,
        "peers.advertise",
        "an address, since peers.listen has none to give",
    );
    let tick = settings.control.tick;
    rule(
        (MIN_TICK..=MAX_TICK).contains(&tick),
        "control.tick",
        "10ms to 2s",
    );
    problems
}
