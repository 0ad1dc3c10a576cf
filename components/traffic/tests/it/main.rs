//! Tests of the event loop between callers and scripted upstreams.

mod harness;
mod leases;

mod answers;
mod bounds;
mod broken_heads;
mod crashes;
mod cut_heads;
mod early_answers;
mod endings;
mod endless;
mod evacuations;
mod foreign_answers;
mod limits;
mod overload;
mod quarantine;
mod refusals;
mod replacements;
mod retries;
mod shutdown;
mod silence;
mod slow;
mod streams;
mod tunnels;
