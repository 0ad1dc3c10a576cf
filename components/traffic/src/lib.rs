//! One event loop that reads callers, chooses, forwards and relays.
//!
//! A connection of a caller is a task of one thread, so nothing here is locked and no
//! request is handed from thread to thread. A request is read whole ([`caller`]), taken
//! through its attempts ([`exchange`]), each on a kept connection to an upstream
//! ([`attempt`]), and its answer is relayed whole or event by event ([`relay`]). What is
//! decided on the way is decided by the `dispatch` component. Field names on the wire
//! belong to a [`Translator`].
//!
//! The control thread sends a [`Plan`] whenever the configuration, the upstreams or a
//! roll-out changes, and reads back what was seen of roll-outs.

mod answer;
mod arm;
mod attempt;
mod attempt_guard;
mod caller;
mod config;
mod crashes;
mod exchange;
mod metrics;
mod plan;
mod rate_limits;
mod relay;
mod report;
mod request;
mod server;
mod shared;
mod status;
mod translate;

pub use config::Config;
pub use metrics::Metrics;
pub use plan::{Plan, Proof};
pub use server::{Command, Handle, Others, StartError, start};
pub use shared::{Seen, Stage};
pub use translate::{Ask, AskError, Forwarding, Prompt, Reply, Standing, Translator};
