//! The fleet, the dump and the probes.

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

/// A probe's answer: 200 for yes, 503 for no.
pub(super) fn health(reply: &HealthReply) -> Response {
    let status = if reply.ok { 200 } else { 503 };
    Response::json(reply).with_status_code(status)
}
