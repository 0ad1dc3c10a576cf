//! Routing of requests to the handlers of each path.

mod bills;
mod catalogue;
mod rollouts;
mod status;

use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use adminapi::error::ErrorCode;
use adminapi::path;
use rouille::{Request, Response};
use telemetry::metrics::Metrics;
use types::prelude::*;

use crate::auth::Tokens;
use crate::command::{Command, ReplyTo, Submit};
use crate::health::Health;
use crate::reply::{Answer, error, fail};

/// Longest accepted body in bytes, equal to the store's limit on values.
pub(crate) const MAX_BODY: u64 = 1 << 20;
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State shared by all request handlers.
pub(crate) struct Api {
    pub(crate) tokens: Tokens,
    pub(crate) submit: Submit,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) health: Arc<Health>,
}

impl Api {
    /// Authenticates a request and answers it; metrics and health need no token.
    pub(crate) fn handle(&self, req: &Request) -> Response {
        let url = req.url();
        if let Some(response) = self.probe(&url) {
            return response;
        }
        let Some(operator) = self.tokens.operator(req.header("Authorization")) else {
            return unauthorized();
        };
        self.route(req, &url, operator)
            .unwrap_or_else(|body| error(*body))
    }

    fn probe(&self, url: &str) -> Option<Response> {
        match url {
            path::METRICS => Some(Response::from_data(METRICS_TYPE, self.metrics.encode())),
            path::HEALTHZ => Some(status::health(&self.health.alive())),
            path::READYZ => Some(status::health(&self.health.ready())),
            _ => None,
        }
    }

    fn route(&self, req: &Request, url: &str, operator: &OperatorName) -> Answer {
        let mut parts = url.trim_matches('/').split('/');
        let first = parts.next().unwrap_or_default();
        let rest: Vec<&str> = parts.collect();
        match (req.method(), first, rest.as_slice()) {
            ("GET", "catalogue", []) => self.list_entries(),
            ("GET", "catalogue", [kind, name]) => self.get_entry(kind, name),
            ("PUT", "catalogue", [kind, name]) => self.put_entry(req, operator, kind, name),
            ("DELETE", "catalogue", [kind, name]) => self.remove_entry(req, operator, kind, name),
            ("GET", "catalogue", [kind, name, "history"]) => self.get_history(kind, name),
            ("GET", "edits", [id]) => self.get_edit(id),
            ("GET", "rollouts", []) => self.list_rollouts(),
            ("POST", "rollouts", [model, action]) => {
                self.rollout_action(req, operator, model, action)
            }
            ("POST", "withdraw", [version]) => self.set_withdrawn(req, operator, version),
            ("POST", "offer", [version]) => self.set_offered(req, operator, version),
            ("GET", "status", []) => self.get_status(),
            ("GET", "dump", []) => self.get_dump(),
            ("GET", "bills", []) => self.get_bills(req),
            _ => unknown_path(req, first),
        }
    }

    /// Sends a command to the control thread and waits for its answer.
    pub(crate) fn ask<T>(
        &self,
        command: impl FnOnce(ReplyTo<T>) -> Command,
    ) -> Result<T, Box<adminapi::error::ErrorBody>> {
        let rx = self.submit(command)?;
        rx.recv_timeout(CONTROL_TIMEOUT)
            .or_else(|_| unavailable("the control thread did not answer in time"))
    }

    /// Sends a command to the control thread and returns the receiver of its answer.
    pub(crate) fn submit<T>(
        &self,
        command: impl FnOnce(ReplyTo<T>) -> Command,
    ) -> Result<flume::Receiver<T>, Box<adminapi::error::ErrorBody>> {
        let (tx, rx) = ReplyTo::new();
        if (self.submit)(command(tx)) {
            Ok(rx)
        } else {
            unavailable("the control thread takes no more commands")
        }
    }
}

fn unavailable<T>(message: &str) -> Result<T, Box<adminapi::error::ErrorBody>> {
    fail(
        ErrorCode::Unavailable,
        message,
        "try again in a few seconds, or ask another daemon; /healthz says whether it hangs",
    )
}

fn unauthorized() -> Response {
    let body = adminapi::error::ErrorBody::new(
        ErrorCode::Unauthorized,
        "no operator has this token",
        "send `Authorization: Bearer TOKEN` with a token of the daemon's settings \
         (operators.tokens)",
    );
    error(body)
}

const PATHS: [&str; 8] = [
    "catalogue",
    "edits",
    "rollouts",
    "withdraw",
    "offer",
    "status",
    "dump",
    "bills",
];

fn unknown_path(req: &Request, first: &str) -> Answer {
    if PATHS.contains(&first) {
        return fail(
            ErrorCode::MethodNotAllowed,
            format!("{} {} is not part of the API", req.method(), req.url()),
            "docs/OPERATIONS.md lists methods and paths",
        );
    }
    fail(
        ErrorCode::NotFound,
        format!("there is no path {}", req.url()),
        "docs/OPERATIONS.md lists the paths",
    )
}

/// Reads a request's body; fails if it is longer than [`MAX_BODY`].
pub(crate) fn read_body(req: &Request) -> Result<Vec<u8>, Box<adminapi::error::ErrorBody>> {
    let Some(data) = req.data() else {
        return Ok(Vec::new());
    };
    let mut buf = Vec::new();
    let read = data.take(MAX_BODY + 1).read_to_end(&mut buf);
    if let Err(e) = read {
        return fail(
            ErrorCode::InvalidRequest,
            format!("the body could not be read: {e}"),
            "send it again",
        );
    }
    if buf.len() as u64 > MAX_BODY {
        return fail(
            ErrorCode::TooLarge,
            format!("the body has more than {}", ByteSize(MAX_BODY)),
            "split the entry: the store keeps no larger values",
        );
    }
    Ok(buf)
}
