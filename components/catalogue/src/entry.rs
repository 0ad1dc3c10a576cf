//! What operators write: customers, services, models and offers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use types::id::NameError;
use types::prelude::*;

/// One entry of the catalogue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The team that answers for it.
    pub owner: OperatorName,
    /// What it says.
    #[serde(flatten)]
    pub body: Body,
}

/// The kinds of entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// Who may call.
    Customer(Customer),
    /// Where work runs.
    Service(Service),
    /// A model and its versions.
    Model(Model),
    /// What callers ask for.
    Offer(Offer),
}

/// A customer: its keys and what it may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// SHA-256 of each bearer key, in hexadecimal.
    pub key_sha256: Vec<KeyHash>,
    /// Across all offers.
    #[serde(default)]
    pub limits: Limits,
    /// Its part when customers compete; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

const fn default_weight() -> u32 {
    1
}

/// SHA-256 of a bearer key, 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    #[must_use]
    pub fn from_key(key: &str) -> Self {
        use sha2::Digest;
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl FromStr for KeyHash {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let error = || NameError::BadNumber(text.to_owned());
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| error())?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(hash))
    }
}

/// Upper bounds; what is absent is not bounded.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests: Option<Rate>,
    /// Tokens, input and output.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tokens: Option<Rate>,
    /// Requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
}

/// A pool of upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// What its upstreams speak.
    pub protocol: Protocol,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
    /// For plain services: who may call.
    #[serde(default)]
    pub customers: Vec<CustomerId>,
    /// For plain services: requests that may be repeated, besides GET, HEAD and OPTIONS.
    #[serde(default)]
    pub idempotent: bool,
    /// For plain services: across all customers.
    #[serde(default)]
    pub limits: Limits,
    /// For plain services: an answer is due within.
    #[serde(default = "default_timeout")]
    pub timeout: Span,
    /// What holds when the catalogue may be out of date.
    #[serde(default)]
    pub freshness: Freshness,
}

const fn default_timeout() -> Span {
    Span::from_secs(30)
}

/// What upstreams of a service speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    /// The OpenAI HTTP API and the engines' orders.
    Engine,
    /// Any HTTP.
    Plain,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique in the catalogue.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain; by default the daemon's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<Region>,
    /// Requests that it runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

const fn default_slots() -> u32 {
    16
}

/// A model and its versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The service that runs it.
    pub service: EntryName,
    /// Its versions by name.
    pub versions: BTreeMap<VersionName, Version>,
    /// The roll-out under way or the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Whether it takes work.
    pub state: VersionState,
    /// What its work costs.
    pub price: Price,
    /// Expected share of adequate answers before any rating, by class.
    #[serde(default)]
    pub expected_quality: BTreeMap<ClassName, Share>,
}

/// Whether a version takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionState {
    /// Everything.
    Offered,
    /// Only the sessions that it has.
    Draining,
    /// Nothing new at all.
    Withdrawn,
}

impl fmt::Display for VersionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Offered => "offered",
            Self::Draining => "draining",
            Self::Withdrawn => "withdrawn",
        })
    }
}

/// Price of a million tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Of the prompt.
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub input: Cost,
    /// Of the answer.
    #[serde(with = "serde_with::As::<serde_with::DisplayFromStr>")]
    pub output: Cost,
}

const TOKENS_PER_PRICE: u128 = 1_000_000;

impl Price {
    /// What a prompt and its answer cost, rounded up.
    #[must_use]
    pub fn of(self, input: Tokens, output: Tokens) -> Cost {
        let input = u128::from(self.input.0) * u128::from(input.0);
        let output = u128::from(self.output.0) * u128::from(output.0);
        let sum = (input + output).div_ceil(TOKENS_PER_PRICE);
        Cost(u64::try_from(sum).unwrap_or(u64::MAX))
    }
}

/// How one version takes over from another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version that goes.
    pub from: VersionName,
    /// The version that comes.
    pub to: VersionName,
    /// The new version's share of new sessions, step by step, rising to 1.
    pub steps: Vec<Share>,
    /// The step in force, from 0.
    pub step: usize,
    /// Whether it moves.
    pub state: RolloutState,
    /// What a step needs before the next.
    #[serde(default)]
    pub gate: Gate,
}

impl Rollout {
    /// The new version's share of new sessions now.
    #[must_use]
    pub fn share(&self) -> Share {
        match self.state {
            RolloutState::Aborted => Share::NONE,
            RolloutState::Done => Share::ALL,
            RolloutState::Running | RolloutState::Paused => {
                self.steps.get(self.step).copied().unwrap_or(Share::NONE)
            }
        }
    }
}

/// Whether a roll-out moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// Goes on as gates open.
    Running,
    /// Stays at its step.
    Paused,
    /// Gone back to the old version.
    Aborted,
    /// The new version has everything.
    Done,
}

/// What a roll-out's step needs before the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gate {
    /// Ratings of the new version at this step.
    pub ratings: u32,
    /// Shortest stay at a step.
    pub stay: Span,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            ratings: 50,
            stay: Span::from_secs(30),
        }
    }
}

/// What callers ask for: a class of work and who may have it from which versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The kind of work.
    pub class: ClassName,
    /// What goes first; a request may ask for less.
    #[serde(default)]
    pub priority: Priority,
    /// Models and versions to choose from.
    pub candidates: Vec<Permit>,
    /// Who may call, and which of the candidates each may be served from.
    pub customers: BTreeMap<CustomerId, Vec<Permit>>,
    /// Share of answers that must be adequate.
    pub quality_target: Share,
    /// What matters when candidates differ.
    #[serde(default)]
    pub weights: Weights,
    /// Across all customers.
    #[serde(default)]
    pub limits: Limits,
    /// An answer is due within, unless the request says less.
    #[serde(default = "default_deadline")]
    pub deadline: Span,
    /// Longest answer.
    #[serde(default = "default_output")]
    pub max_output: Tokens,
    /// What holds when the catalogue may be out of date.
    #[serde(default)]
    pub freshness: Freshness,
}

const fn default_deadline() -> Span {
    Span::from_secs(60)
}

const fn default_output() -> Tokens {
    Tokens(4096)
}

/// What an owner weighs, each from 0; only their ratios count.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Money.
    pub cost: f64,
    /// Time to the answer.
    pub latency: f64,
    /// Answers from versions not yet proved.
    pub exposure: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            cost: 1.0,
            latency: 1.0,
            exposure: 1.0,
        }
    }
}

/// A model with all its versions, or one version: `tariff-large` or `tariff-large@2026-11`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub enum Permit {
    /// All versions.
    Model(ModelName),
    /// One version.
    Version(VersionId),
}

impl Permit {
    /// Whether it covers a version.
    #[must_use]
    pub fn covers(&self, version: &VersionId) -> bool {
        match self {
            Self::Model(model) => *model == version.model,
            Self::Version(only) => only == version,
        }
    }

    /// The model that it speaks of.
    #[must_use]
    pub fn model(&self) -> &ModelName {
        match self {
            Self::Model(model) => model,
            Self::Version(version) => &version.model,
        }
    }
}

impl fmt::Display for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => model.fmt(f),
            Self::Version(version) => version.fmt(f),
        }
    }
}

impl FromStr for Permit {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        if text.contains('@') {
            text.parse().map(Self::Version)
        } else {
            text.parse().map(Self::Model)
        }
    }
}

/// What holds when a daemon has not heard for a while that its catalogue is current.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Freshness {
    /// The catalogue counts as current this long after it last was confirmed.
    pub limit: Span,
    /// What follows.
    pub past_limit: PastLimit,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            limit: Span::from_secs(10),
            past_limit: PastLimit::ServeWithMajority,
        }
    }
}

/// What an entry does past its freshness limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PastLimit {
    /// Serve what is known.
    Serve,
    /// Refuse as not run.
    Refuse,
    /// Serve while most of the fleet is in reach and none of it reaches the store;
    /// a daemon that sees only a few others may be the one that is cut off, and refuses.
    ServeWithMajority,
}
