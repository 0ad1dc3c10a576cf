//! Request mix of both users, drawn from the offers in the catalogue.

use std::collections::BTreeMap;

use catalogue::entry::{Body, Protocol};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde_json::json;
use standins::engine::text::Message;
use standins::platform::Entries;

/// Minimum request rate limit of a customer in requests per second. Customers with a lower limit
/// are left out because the mix would exceed it.
const MIN_RATE_LIMIT: f64 = 50.0;
/// Number of sessions of a customer and an offer over which requests are spread.
const SESSIONS: u32 = 40;

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A chat with a complete response.
    Whole,
    /// A chat with a streamed response.
    Stream,
    /// A chat that must not run twice.
    OnceChat,
    /// An idempotent call of a plain service.
    Plain,
    /// A call of a plain service that must not run twice.
    OncePlain,
}

impl Kind {
    /// Whether the request may safely be repeated.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::OnceChat | Self::OncePlain)
    }

    /// Whether the request goes to a plain service.
    pub fn is_plain(self) -> bool {
        matches!(self, Self::Plain | Self::OncePlain)
    }
}

/// A request that is ready to be sent.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Identifies the request in the stand-ins' records; also used as the request id.
    pub tag: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Name of the customer without `customers/`.
    pub customer: String,
    /// HTTP path.
    pub path: String,
    /// HTTP body.
    pub body: String,
    /// Chat messages; empty for plain services.
    pub messages: Vec<Message>,
    /// Output tokens; 0 for plain services.
    pub tokens: u32,
    /// Session of the chat, if it has one.
    pub session: Option<String>,
    /// Whether the request is also sent through another daemon at the same time.
    pub is_duplicated: bool,
}

struct Offer {
    name: String,
    customers: Vec<String>,
    max_tokens: u32,
}

struct Service {
    name: String,
    customers: Vec<String>,
    is_idempotent: bool,
}

/// Draws random requests.
pub struct RequestMix {
    seed: u64,
    offers: Vec<Offer>,
    services: Vec<Service>,
}

impl RequestMix {
    /// Builds the mix from a catalogue.
    pub fn new(entries: &Entries, seed: u64) -> Self {
        let rates = request_rates(entries);
        let has_sufficient_limit =
            |customer: &str| rates.get(customer).is_some_and(|r| *r >= MIN_RATE_LIMIT);
        let mut mix = Self {
            seed,
            offers: Vec::new(),
            services: Vec::new(),
        };
        for (name, entry) in entries {
            let short = |prefix| name.as_str().trim_start_matches(prefix).to_owned();
            match &entry.body {
                Body::Offer(offer) => {
                    let customers = offer.customers.keys().map(|c| c.as_str().to_owned());
                    mix.offers.push(Offer {
                        name: short("offers/"),
                        customers: customers.filter(|c| has_sufficient_limit(c)).collect(),
                        max_tokens: u32::try_from(offer.max_output.0).unwrap_or(64).min(64),
                    });
                }
                Body::Service(service) if service.protocol == Protocol::Plain => {
                    let customers = service.customers.iter().map(|c| c.as_str().to_owned());
                    mix.services.push(Service {
                        name: short("services/"),
                        customers: customers.filter(|c| has_sufficient_limit(c)).collect(),
                        is_idempotent: service.idempotent,
                    });
                }
                _ => {}
            }
        }
        mix.offers.retain(|offer| !offer.customers.is_empty());
        mix
    }

    /// Returns the request with a number, which is always the same for the same seed.
    pub fn request(&self, number: usize) -> PlannedRequest {
        let mut rng = StdRng::seed_from_u64(self.seed ^ ((number as u64) << 20));
        let tag = format!("q{}-{number}", self.seed);
        match rng.random_range(0..100) {
            0..40 => self.chat(&mut rng, tag, Kind::Whole),
            40..75 => self.chat(&mut rng, tag, Kind::Stream),
            75..85 => self.chat(&mut rng, tag, Kind::OnceChat),
            _ => self.plain(&mut rng, tag),
        }
    }

    fn chat(&self, rng: &mut impl Rng, tag: String, kind: Kind) -> PlannedRequest {
        let offer = &self.offers[rng.random_range(0..self.offers.len())];
        let customer = pick(rng, &offer.customers);
        let session = rng.random_bool(0.2).then(|| {
            let n = rng.random_range(0..SESSIONS);
            format!("{customer}-{}-{n}", offer.name)
        });
        let tokens = rng.random_range(4..=offer.max_tokens);
        let messages = vec![
            Message::new("system", &format!("You work on {}.", offer.name)),
            Message::new("user", &format!("{tag} please do the usual")),
        ];
        let texts = messages
            .iter()
            .map(|m| json!({ "role": m.role, "content": m.content }));
        let body = json!({
            "model": offer.name,
            "messages": texts.collect::<Vec<_>>(),
            "max_tokens": tokens,
            "stream": kind == Kind::Stream,
        });
        PlannedRequest {
            tag,
            kind,
            customer,
            path: "/v1/chat/completions".to_owned(),
            body: body.to_string(),
            messages,
            tokens,
            session,
            is_duplicated: rng.random_bool(0.03),
        }
    }

    fn plain(&self, rng: &mut impl Rng, tag: String) -> PlannedRequest {
        let service = &self.services[rng.random_range(0..self.services.len())];
        PlannedRequest {
            kind: if service.is_idempotent {
                Kind::Plain
            } else {
                Kind::OncePlain
            },
            customer: pick(rng, &service.customers),
            path: format!("/services/{}/shifts", service.name),
            body: format!("{tag} confirm"),
            messages: Vec::new(),
            tokens: 0,
            session: None,
            is_duplicated: rng.random_bool(0.03),
            tag,
        }
    }
}

fn pick(rng: &mut impl Rng, names: &[String]) -> String {
    names[rng.random_range(0..names.len())].clone()
}

fn request_rates(entries: &Entries) -> BTreeMap<String, f64> {
    let rates = entries.iter().filter_map(|(name, entry)| {
        let Body::Customer(customer) = &entry.body else {
            return None;
        };
        let id = name.as_str().strip_prefix("customers/")?;
        let rate = customer.limits.requests.map_or(f64::MAX, |rate| rate.0);
        // `dev` has its own key and is not part of the mix.
        (id != "dev").then(|| (id.to_owned(), rate))
    });
    rates.collect()
}
