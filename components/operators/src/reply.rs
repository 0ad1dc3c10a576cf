//! HTTP responses for answers and errors.

use adminapi::error::{ErrorBody, ErrorCode, ErrorReply};
use rouille::Response;
use serde::Serialize;

const RETRY_AFTER_S: &str = "2";

/// Result of a request: a response, or an error to be sent with its status.
pub(crate) type Answer = Result<Response, Box<ErrorBody>>;

/// Creates a response with status 200 and a JSON body.
pub(crate) fn json<T: Serialize>(body: &T) -> Answer {
    match serde_json::to_string(body) {
        Ok(text) => Ok(Response::from_data("application/json", text)),
        Err(e) => fail(
            ErrorCode::Internal,
            format!("the answer cannot be written: {e}"),
            "report this with the daemon's version",
        ),
    }
}

/// Returns an error with a message and a hint.
pub(crate) fn fail<T>(
    code: ErrorCode,
    message: impl Into<String>,
    hint: impl Into<String>,
) -> Result<T, Box<ErrorBody>> {
    Err(Box::new(ErrorBody::new(code, message, hint)))
}

/// Converts an error to a response with the status and headers of its code.
pub(crate) fn error(body: ErrorBody) -> Response {
    let code = body.code;
    let edit_id = body.edit_id;
    let text = serde_json::to_string(&ErrorReply { error: body }).unwrap_or_default();
    let mut response =
        Response::from_data("application/json", text).with_status_code(code.status());
    if let Some(id) = edit_id {
        let name = adminapi::path::EDIT_ID_HEADER;
        response = response.with_additional_header(name, id.to_string());
    }
    match code {
        ErrorCode::Unauthorized => response.with_additional_header("WWW-Authenticate", "Bearer"),
        ErrorCode::NotApplied | ErrorCode::Unavailable => {
            response.with_additional_header("Retry-After", RETRY_AFTER_S)
        }
        _ => response,
    }
}
