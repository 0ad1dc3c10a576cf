//! Requests to plain services, passed through.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, Method};
use types::prelude::*;

use crate::call::{Call, Client, Reuse, instant_after};
use crate::error::AttemptError;

/// Headers that apply to one connection only, which the client sets itself if needed.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers; hop-by-hop headers are not forwarded.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Time within which the complete answer must arrive.
    pub timeout: Span,
}

/// A plain service's complete answer, whatever its status.
#[derive(Debug, Clone)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Headers without the hop-by-hop ones and `Content-Length`.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Client {
    /// Forwards one request, at most once.
    ///
    /// The connection is not pooled: a plain service does not identify the request that it answers,
    /// so a late answer on a reused connection would be mistaken for the answer to the next
    /// request.
    ///
    /// # Errors
    /// States what is known if no complete answer came.
    pub async fn plain(
        &self,
        upstream: SocketAddr,
        req: &PlainRequest,
    ) -> Result<PlainAnswer, AttemptError> {
        let mut headers = end_to_end(&req.headers);
        headers.remove(HOST);
        headers.insert(CONNECTION, http::HeaderValue::from_static("close"));
        let call = Call {
            upstream,
            method: req.method.clone(),
            path: &req.path,
            headers,
            body: req.body.clone(),
            read_timeout: req.timeout.to_duration(),
            expires_at: instant_after(req.timeout),
            reuse: Reuse::Never,
        };
        let mut response = self.send(&call).await?;
        let body = response.read_body(self.cfg.max_answer).await;
        let truncated = |cause| AttemptError::Truncated {
            delivered: 0,
            cause,
        };
        Ok(PlainAnswer {
            status: response.status,
            headers: end_to_end(&response.headers),
            body: body.map_err(truncated)?,
        })
    }
}

/// Copies the headers that are neither hop-by-hop, nor `Content-Length`, nor listed in
/// `Connection`.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_names = headers.get_all(CONNECTION).into_iter();
    let connection_names = connection_names.filter_map(|value| value.to_str().ok());
    let connection_names = connection_names.flat_map(|text| text.split(','));
    let connection_names = connection_names.map(|name| name.trim().to_ascii_lowercase());
    let connection_names = connection_names.collect::<Vec<_>>();
    let passes = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_BY_HOP.contains(&name)
            && name != CONTENT_LENGTH.as_str()
            && !connection_names.iter().any(|l| l == name)
    };
    let forwarded = headers.iter().filter(|(name, _)| passes(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
