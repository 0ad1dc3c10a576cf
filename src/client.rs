//! HTTP client of the operators' API.

use std::io::Read;
use std::thread;
use std::time::Duration;

use adminapi::edit::{EditReply, EditState};
use adminapi::error::{ErrorBody, ErrorCode, ErrorReply};
use adminapi::path;
use attohttpc::{ErrorKind, Method, RequestBuilder, Response};
use catalogue::edit::make_id;
use eyre::WrapErr;
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::prelude::*;

use crate::failure::Failure;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Must exceed the time that the daemon waits for an edit's outcome.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
const MAX_OUTCOME_POLLS: u32 = 10;
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Client of one daemon's operators' API.
#[derive(Debug)]
pub(crate) struct Client {
    server: String,
    token: String,
}

/// An edit to be sent to the API.
#[derive(Debug, Clone)]
pub(crate) struct EditRequest<T> {
    /// HTTP method.
    pub method: Method,
    /// Path of the API.
    pub path: String,
    /// Name of the edited entry.
    pub name: EntryName,
    /// Revision that the entry must have, sent as `If-Match`; `None` sends no condition.
    pub if_match: Option<Revision>,
    /// Body, sent as JSON.
    pub body: T,
}

impl Client {
    /// Creates a client for a daemon's operators' address; the scheme defaults to `http://`.
    pub(crate) fn new(server: &str, token: String) -> Self {
        let server = server.trim_end_matches('/');
        let scheme = if server.contains("://") {
            ""
        } else {
            "http://"
        };
        Self {
            server: format!("{scheme}{server}"),
            token,
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("{}{path}", self.server))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(READ_TIMEOUT)
            .bearer_auth(&self.token)
    }

    /// Sends a GET request and parses the JSON body of the reply.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let response = self.fetch(path)?;
        Ok(read_json(response).wrap_err_with(|| format!("{path}: the answer cannot be read"))?)
    }

    /// Sends a GET request and returns the body of the reply as text.
    pub(crate) fn get_text(&self, path: &str) -> Result<String, Failure> {
        let response = self.fetch(path)?;
        Ok(read_text(response).wrap_err_with(|| format!("{path}: the answer cannot be read"))?)
    }

    fn fetch(&self, path: &str) -> Result<Response, Failure> {
        let sent = self.request(Method::GET, path).send();
        let response = sent.map_err(|e| self.unreachable(&e))?;
        check_status(response)
    }

    fn unreachable(&self, e: &attohttpc::Error) -> Failure {
        Failure::Unreachable {
            server: self.server.clone(),
            reason: e.to_string(),
        }
    }

    /// Sends an edit and, if its outcome is unknown, polls for the outcome a limited number of
    /// times.
    ///
    /// The tool chooses the edit's id, so that it can ask for the outcome when the reply is lost.
    pub(crate) fn edit<T: Serialize>(&self, call: &EditRequest<T>) -> Result<EditReply, Failure> {
        let id = make_id(call.if_match.unwrap_or_default(), &mut rand::rng());
        let mut req = self
            .request(call.method.clone(), &call.path)
            .header(path::EDIT_ID_HEADER, id.to_string());
        if let Some(revision) = call.if_match {
            req = req.header("If-Match", path::etag(revision));
        }
        let req = req
            .json(&call.body)
            .wrap_err("the entry cannot be written as JSON")?;
        let reason = match req.send() {
            Ok(response) => match read_edit(response) {
                Ok(reply) => return Ok(reply),
                Err(NoReply::Unknown(reason)) => reason,
                Err(NoReply::Failed(failure)) => return Err(failure),
            },
            Err(e) if was_never_sent(&e) => return Err(self.unreachable(&e)),
            Err(e) => e.to_string(),
        };
        self.poll_outcome(id, &call.name, reason)
    }

    fn poll_outcome(
        &self,
        id: EditId,
        name: &EntryName,
        reason: String,
    ) -> Result<EditReply, Failure> {
        eprintln!("the outcome is not known yet, asking again for edit {id}");
        for _ in 0..MAX_OUTCOME_POLLS {
            thread::sleep(OUTCOME_POLL_INTERVAL);
            match self.get::<EditReply>(&path::edit(id)) {
                Ok(reply) if reply.state == EditState::Applied => return Ok(reply),
                Ok(reply) if reply.state == EditState::NotApplied => {
                    return Err(Failure::Refused(Box::new(not_applied(
                        id,
                        name,
                        reply.reason,
                    ))));
                }
                _ => {}
            }
        }
        let (edit, name) = (id, name.clone());
        Err(Failure::OutcomeUnknown { edit, name, reason })
    }
}

fn not_applied(id: EditId, name: &EntryName, reason: Option<String>) -> ErrorBody {
    let reason = reason.unwrap_or_else(|| "the store did not take it".to_owned());
    let message = format!("{name} was not changed: {reason}");
    let mut body = ErrorBody::new(ErrorCode::NotApplied, message, "make the edit again");
    body.edit_id = Some(id);
    body
}

/// Whether a request failed before its first byte was sent.
fn was_never_sent(e: &attohttpc::Error) -> bool {
    match e.kind() {
        ErrorKind::ConnectError { .. } | ErrorKind::InvalidBaseUrl | ErrorKind::InvalidUrlHost => {
            true
        }
        ErrorKind::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Why there is no reply to an edit.
enum NoReply {
    /// It has failed.
    Failed(Failure),
    /// It may have been applied, for this reason.
    Unknown(String),
}

fn read_edit(response: Response) -> Result<EditReply, NoReply> {
    let status = response.status();
    let is_of_another_server = status.is_redirection() || status.is_client_error();
    let read = check_status(response).and_then(|response| {
        Ok(read_json(response).wrap_err("the answer to the edit cannot be read")?)
    });
    read.map_err(|failure| match failure {
        Failure::Refused(body) if body.code == ErrorCode::OutcomeUnknown => {
            NoReply::Unknown(body.message)
        }
        Failure::Other(e) if !is_of_another_server => NoReply::Unknown(format!("{e:#}")),
        failure => NoReply::Failed(failure),
    })
}

fn read_json<T: DeserializeOwned>(response: Response) -> eyre::Result<T> {
    Ok(serde_json::from_slice(&read_body(response)?)?)
}

fn read_text(response: Response) -> eyre::Result<String> {
    Ok(String::from_utf8_lossy(&read_body(response)?).into_owned())
}

/// Reads a body of at most [`MAX_BODY_BYTES`].
fn read_body(response: Response) -> eyre::Result<Vec<u8>> {
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    reader
        .take(MAX_BODY_BYTES as u64 + 1)
        .read_to_end(&mut body)?;
    eyre::ensure!(
        body.len() <= MAX_BODY_BYTES,
        "it has more than {MAX_BODY_BYTES} bytes"
    );
    Ok(body)
}

fn check_status(response: Response) -> Result<Response, Failure> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = read_text(response).unwrap_or_default();
    match serde_json::from_str::<ErrorReply>(&text) {
        Ok(reply) => Err(Failure::Refused(Box::new(reply.error))),
        Err(_) => Err(eyre::eyre!(
            "the server answered {status} in a form that no daemon uses; check --server"
        )
        .into()),
    }
}
