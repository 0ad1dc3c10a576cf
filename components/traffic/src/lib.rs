//! The data plane: one event loop that reads callers' requests, chooses upstreams, forwards the
//! requests and relays the answers.
//!
//! All connections are tasks of one thread, so nothing here is locked and no request is handed from
//! thread to thread. A request is read whole ([`caller`]), taken through its attempts
//! ([`exchange`]), each on a pooled connection to an upstream ([`attempt`]) or one through a peer
//! ([`tunnel`]), and its answer is relayed whole or event by event ([`relay`]). The decisions on the
//! way are made by the `dispatch` component. A [`Translator`] maps header names on the wire.
//!
//! The control thread sends a [`Plan`] whenever the configuration, the upstreams or a rollout
//! changes, and reads back what was observed of rollouts ([`Observed`]).

mod answer;
mod arm;
mod attempt;
mod attempt_guard;
mod awaited;
mod caller;
mod config;
mod connect;
mod crashes;
mod durations;
mod ending;
mod exchange;
mod held;
mod metrics;
mod overload_control;
mod paces;
mod plan;
mod rate_limits;
mod relay;
mod report;
mod request;
mod retries;
mod run;
mod server;
mod shared;
mod status;
mod translate;
mod tunnel;

pub use config::{Config, TunnelConfig};
pub use metrics::Metrics;
pub use plan::{Plan, Validation};
pub use server::{Command, Handle, PeerState, StartError, start};
pub use shared::{Observed, Stage};
pub use translate::{Ask, AskError, Execution, Forwarding, Prompt, Reply, Translator};
pub use tunnel::message::FleetKey;
