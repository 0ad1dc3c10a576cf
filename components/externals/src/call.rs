//! A blocking request to a service with a JSON API.

use std::io::Read;
use std::net::SocketAddr;

use attohttpc::header::RETRY_AFTER;
use attohttpc::{ProxySettings, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::prelude::*;

const CONNECT_TIMEOUT: Span = Span::from_millis(500);
/// Largest response body, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;
/// Time to wait if a service refuses without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Span = Span::from_secs(1);

/// Why a request to a service failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The service refuses requests for this time.
    #[error("refused for {0}")]
    Later(Span),
    /// The service was not reached, did not answer in time, or violated its protocol.
    #[error("failed: {0}")]
    Failed(String),
}

pub(crate) fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    timeout: Span,
) -> Result<T, PlatformError> {
    let builder = with_limits(attohttpc::get(format!("http://{address}{path}")), timeout);
    parse_response(builder.send().map_err(failed)?)
}

pub(crate) fn post<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
    timeout: Span,
) -> Result<T, PlatformError> {
    let builder = with_limits(attohttpc::post(format!("http://{address}{path}")), timeout);
    let builder = builder.json(body).map_err(failed)?;
    parse_response(builder.send().map_err(failed)?)
}

fn with_limits(builder: RequestBuilder, timeout: Span) -> RequestBuilder {
    builder
        .connect_timeout(CONNECT_TIMEOUT.to_duration())
        .read_timeout(timeout.to_duration())
        .timeout((CONNECT_TIMEOUT + timeout).to_duration())
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
}

fn parse_response<T: DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    let status = response.status().as_u16();
    if matches!(status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE) {
        let header = response.headers().get(RETRY_AFTER);
        let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
        return Err(PlatformError::Later(
            seconds.map_or(DEFAULT_RETRY_AFTER, Span::from_secs),
        ));
    }
    if !response.is_success() {
        return Err(PlatformError::Failed(format!("status {status}")));
    }
    let (_, _, reader) = response.split();
    serde_json::from_reader(reader.take(MAX_BODY_BYTES)).map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Failed(error.to_string())
}
