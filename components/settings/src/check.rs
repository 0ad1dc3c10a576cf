//! Rules on settings that the types cannot express.

use std::fmt;

use types::prelude::*;

use crate::model::Settings;

const MIN_SECRET_BYTES: usize = 16;
const MIN_TOKEN_BYTES: usize = 8;
const MIN_TICK: Span = Span::from_millis(10);
const MAX_TICK: Span = Span::from_secs(2);
const MIN_RETRY_WINDOW: Span = Span::from_secs(600);
const MAX_RETRY_WINDOW: Span = Span::from_secs(7 * 24 * 3600);
const MIN_LEASE_SLOT: Span = Span::from_secs(60);
const MAX_LEASE_SLOT: Span = Span::from_secs(24 * 3600);

/// A broken rule of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, such as `callers.threads`.
    pub key: &'static str,
    /// What the value must be.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.key, self.expected)
    }
}

/// Whether a rule holds, the key that it is about, and what is expected of the value.
type Rule = (bool, &'static str, &'static str);

/// Returns all broken rules.
pub(crate) fn check(settings: &Settings) -> Vec<Problem> {
    let rules = caller_rules(settings)
        .into_iter()
        .chain(other_rules(settings));
    let rules = rules.chain(claim_rules(settings));
    let broken = rules.filter(|(holds, _, _)| !holds);
    broken
        .map(|(_, key, expected)| Problem {
            key,
            expected: expected.to_owned(),
        })
        .collect()
}

/// Rules for the callers' API.
fn caller_rules(settings: &Settings) -> Vec<Rule> {
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

/// Rules for claims: a claim must outlive every deadline and every retry, and expire eventually.
fn claim_rules(settings: &Settings) -> Vec<Rule> {
    let claims = &settings.claims;
    vec![
        (
            (MIN_RETRY_WINDOW..=MAX_RETRY_WINDOW).contains(&claims.retry_window),
            "claims.retry_window",
            "10m to 7days",
        ),
        (
            (MIN_LEASE_SLOT..=MAX_LEASE_SLOT).contains(&claims.lease_slot),
            "claims.lease_slot",
            "1m to 1day",
        ),
    ]
}

/// Rules for the operators' API, the store, peers and the control thread.
fn other_rules(settings: &Settings) -> Vec<Rule> {
    let tokens = &settings.operators.tokens;
    let peers = &settings.peers;
    let secrets_are_long = peers
        .keys
        .iter()
        .all(|key| key.secret.len() >= MIN_SECRET_BYTES);
    let is_reachable = peers.advertise.is_some() || !peers.listen.ip().is_unspecified();
    let tick = settings.control.tick;
    vec![
        (
            !tokens.is_empty(),
            "operators.tokens",
            "a token for an operator",
        ),
        (
            tokens.values().all(|t| t.len() >= MIN_TOKEN_BYTES),
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
