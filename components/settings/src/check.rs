//! Rules that types cannot say.

use std::fmt;

use types::prelude::*;

use crate::model::Settings;

const MIN_SECRET: usize = 16;
const MIN_TOKEN: usize = 8;
const MIN_TICK: Span = Span::from_millis(10);
const MAX_TICK: Span = Span::from_secs(2);
const MIN_WINDOW: Span = Span::from_secs(600);
const MAX_WINDOW: Span = Span::from_secs(7 * 24 * 3600);
const MIN_SLOT: Span = Span::from_secs(60);
const MAX_SLOT: Span = Span::from_secs(24 * 3600);

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

type Rule = (bool, &'static str, &'static str);

/// Finds every broken rule.
pub(crate) fn check(settings: &Settings) -> Vec<Problem> {
    let rules = callers(settings).into_iter().chain(edges(settings));
    let rules = rules.chain(claims(settings));
    let broken = rules.filter(|(holds, _, _)| !holds);
    broken
        .map(|(_, key, expected)| Problem {
            key,
            expected: expected.to_owned(),
        })
        .collect()
}

fn callers(settings: &Settings) -> Vec<Rule> {
    let callers = &settings.callers;
    vec![
        (
            (1..=64).contains(&callers.threads),
            "callers.threads",
            "1 to 64",
        ),
        (
            callers.max_connections > 0,
            "callers.max_connections",
            "at least 1",
        ),
        (
            callers.max_in_flight > 0,
            "callers.max_in_flight",
            "at least 1",
        ),
        (
            callers.max_head.0 >= 8192,
            "callers.max_head",
            "at least 8KiB",
        ),
        (
            callers.max_body.0 > 0,
            "callers.max_body",
            "more than nothing",
        ),
        (
            callers.head_timeout > Span::ZERO,
            "callers.head_timeout",
            "more than 0s",
        ),
        (
            callers.body_timeout > Span::ZERO,
            "callers.body_timeout",
            "more than 0s",
        ),
        (
            callers.write_timeout > Span::ZERO,
            "callers.write_timeout",
            "more than 0s",
        ),
    ]
}

/// A claim must outlive every deadline and every repeat, and be gone some day.
fn claims(settings: &Settings) -> Vec<Rule> {
    let claims = &settings.claims;
    vec![
        (
            (MIN_WINDOW..=MAX_WINDOW).contains(&claims.retry_window),
            "claims.retry_window",
            "10m to 7days",
        ),
        (
            (MIN_SLOT..=MAX_SLOT).contains(&claims.lease_slot),
            "claims.lease_slot",
            "1m to 1day",
        ),
    ]
}

fn edges(settings: &Settings) -> Vec<Rule> {
    let tokens = &settings.operators.tokens;
    let peers = &settings.peers;
    let secrets_are_long = peers.keys.iter().all(|key| key.secret.len() >= MIN_SECRET);
    let is_reachable = peers.advertise.is_some() || !peers.listen.ip().is_unspecified();
    let tick = settings.control.tick;
    vec![
        (
            !tokens.is_empty(),
            "operators.tokens",
            "a token for an operator",
        ),
        (
            tokens.values().all(|t| t.len() >= MIN_TOKEN),
            "operators.tokens",
            "8 characters or more",
        ),
        (
            !settings.store.endpoints.is_empty(),
            "store.endpoints",
            "at least one address",
        ),
        (
            settings.store.timeout > Span::ZERO,
            "store.timeout",
            "more than 0s",
        ),
        (!peers.keys.is_empty(), "peers.keys", "at least one key"),
        (
            secrets_are_long,
            "peers.keys",
            "secrets of 16 characters or more",
        ),
        (
            is_reachable,
            "peers.advertise",
            "an address, since peers.listen has none to give",
        ),
        (
            (MIN_TICK..=MAX_TICK).contains(&tick),
            "control.tick",
            "10ms to 2s",
        ),
    ]
}
