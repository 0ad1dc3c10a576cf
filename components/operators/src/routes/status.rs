//! Handlers for the fleet's status, the dump and the health probes.

use adminapi::status::HealthReply;
use rouille::Response;

use crate::command::Command;
use crate::reply::{Answer, json};
use crate::routes::Api;

impl Api {
    pub(super) fn get_status(&self) -> Answer {
        json(&self.ask(Command::Status)?)
    }

    pub(super) fn get_dump(&self) -> Answer {
        json(&self.ask(Command::Dump)?)
    }
}

/// Answers a health probe with status 200 if `reply.ok`, else 503.
pub(super) fn health(reply: &HealthReply) -> Response {
    let status = if reply.ok { 200 } else { 503 };
    Response::json(reply).with_status_code(status)
}
