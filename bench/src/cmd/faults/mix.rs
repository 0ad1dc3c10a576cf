//! Both users' mix of requests, drawn from the catalogue's own offers.

use std::collections::BTreeMap;

use catalogue::entry::{Body, Protocol};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde_json::json;
use standins::engine::text::Message;
use standins::platform::Entries;

/// Customers with a lower limit are left out: the mix would exceed it.
const MIN_REQUESTS_PER_S: f64 = 50.0;
/// Sessions that requests with one share.
const SESSIONS: u32 = 40;

/// What kind of work a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A chat answered at once.
    Whole,
    /// A chat answered as a stream.
    Stream,
    /// A chat that must not run twice.
    OnceChat,
    /// A call of a plain service that may be repeated.
    Plain,
    /// A call of a plain service that must not run twice.
    OncePlain,
}

impl Kind {
    /// Whether a repeat is harmless.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::OnceChat | Self::OncePlain)
    }

    /// Whether a plain service does it.
    pub fn is_plain(self) -> bool {
        matches!(self, Self::Plain | Self::OncePlain)
    }
}

/// One request, ready to send.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Names it in the stand-ins' records; also its request id.
    pub tag: String,
    /// What kind of work it is.
    pub kind: Kind,
    /// The customer, without `customers/`.
    pub customer: String,
    /// Path of the call.
    pub path: String,
    /// Its body.
    pub body: String,
    /// Its chat, for chats.
    pub messages: Vec<Message>,
    /// Tokens of the answer, for chats.
    pub tokens: u32,
    /// Its session, for some chats.
    pub session: Option<String>,
    /// Also sent through another daemon at the same time.
    pub is_impatient: bool,
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

/// Draws requests.
pub struct Mix {
    seed: u64,
    offers: Vec<Offer>,
    services: Vec<Service>,
}

impl Mix {
    /// From a catalogue.
    pub fn new(entries: &Entries, seed: u64) -> Self {
        let rates = request_rates(entries);
        let busy = |customer: &str| {
            rates
                .get(customer)
                .is_some_and(|r| *r >= MIN_REQUESTS_PER_S)
        };
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
                        customers: customers.filter(|c| busy(c)).collect(),
                        max_tokens: u32::try_from(offer.max_output.0).unwrap_or(64).min(64),
                    });
                }
                Body::Service(service) if service.protocol == Protocol::Plain => {
                    let customers = service.customers.iter().map(|c| c.as_str().to_owned());
                    mix.services.push(Service {
                        name: short("services/"),
                        customers: customers.filter(|c| busy(c)).collect(),
                        is_idempotent: service.idempotent,
                    });
                }
                _ => {}
            }
        }
        mix.offers.retain(|offer| !offer.customers.is_empty());
        mix
    }

    /// The request of a number; the same for the same seed.
    pub fn wanted(&self, number: usize) -> Wanted {
        let mut rng = StdRng::seed_from_u64(self.seed ^ ((number as u64) << 20));
        let tag = format!("q{}-{number}", self.seed);
        match rng.random_range(0..100) {
            0..40 => self.chat(&mut rng, tag, Kind::Whole),
            40..75 => self.chat(&mut rng, tag, Kind::Stream),
            75..85 => self.chat(&mut rng, tag, Kind::OnceChat),
            _ => self.plain(&mut rng, tag),
        }
    }

    fn chat(&self, rng: &mut impl Rng, tag: String, kind: Kind) -> Wanted {
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
        Wanted {
            tag,
            kind,
            customer,
            path: "/v1/chat/completions".to_owned(),
            body: body.to_string(),
            messages,
            tokens,
            session,
            is_impatient: rng.random_bool(0.03),
        }
    }

    fn plain(&self, rng: &mut impl Rng, tag: String) -> Wanted {
        let service = &self.services[rng.random_range(0..self.services.len())];
        Wanted {
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
            is_impatient: rng.random_bool(0.03),
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
        // `dev` has its own key and no part in the mix.
        (id != "dev").then(|| (id.to_owned(), rate))
    });
    rates.collect()
}
