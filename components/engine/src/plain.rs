//! Calls of plain services, passed through.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, Method};
use types::prelude::*;

use crate::call::{Call, Client, Reuse, ends};
use crate::error::AttemptError;

/// Headers that concern one connection only, and those that are made anew.
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

/// A request for a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// Its headers; those of one hop are left out.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// The answer is due within.
    pub timeout: Span,
}

/// A plain service's whole answer, of whatever status.
#[derive(Debug, Clone)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Headers, without those of one hop and the length.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Client {
    /// Passes one request on; never more than once. Its connection is not kept: a plain
    /// service does not say which request it answers, so a late answer on a kept one would
    /// be taken for the next request's.
    ///
    /// # Errors
    /// Says what is known when no whole answer came.
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
            ends: ends(req.timeout),
            reuse: Reuse::Never,
        };
        let mut answering = self.send(&call).await?;
        let body = answering.whole(self.cfg.max_answer).await;
        let cut = |cause| AttemptError::Truncated {
            delivered: 0,
            cause,
        };
        Ok(PlainAnswer {
            status: answering.status,
            headers: end_to_end(&answering.headers),
            body: body.map_err(cut)?,
        })
    }
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all(CONNECTION).into_iter();
    let listed = listed.filter_map(|value| value.to_str().ok());
    let listed = listed.flat_map(|text| text.split(','));
    let listed = listed.map(|name| name.trim().to_ascii_lowercase());
    let listed = listed.collect::<Vec<_>>();
    let passes = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_BY_HOP.contains(&name)
            && name != CONTENT_LENGTH.as_str()
            && !listed.iter().any(|l| l == name)
    };
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
