//! One call of a service that speaks JSON.

use std::io::Read;
use std::net::SocketAddr;

use attohttpc::header::RETRY_AFTER;
use attohttpc::{ProxySettings, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use types::prelude::*;

const CONNECT_TIMEOUT: Span = Span::from_millis(500);
const MAX_ANSWER: u64 = 8 << 20;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;
/// Pause when a service refuses without saying for how long.
const DEFAULT_PAUSE: Span = Span::from_secs(1);

/// Why a service gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// It takes no more for now.
    #[error("refused for {0}")]
    Later(Span),
    /// Not reached, late, or not as its protocol says.
    #[error("failed: {0}")]
    Failed(String),
}

pub(crate) fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    timeout: Span,
) -> Result<T, PlatformError> {
    let builder = bounded(attohttpc::get(format!("http://{address}{path}")), timeout);
    read(builder.send().map_err(failed)?)
}

pub(crate) fn post<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
    timeout: Span,
) -> Result<T, PlatformError> {
    let builder = bounded(attohttpc::post(format!("http://{address}{path}")), timeout);
    let builder = builder.json(body).map_err(failed)?;
    read(builder.send().map_err(failed)?)
}

fn bounded(builder: RequestBuilder, timeout: Span) -> RequestBuilder {
    builder
        .connect_timeout(CONNECT_TIMEOUT.to_duration())
        .read_timeout(timeout.to_duration())
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
}

fn read<T: DeserializeOwned>(answer: Response) -> Result<T, PlatformError> {
    let status = answer.status().as_u16();
    if matches!(status, TOO_MANY_REQUESTS | UNAVAILABLE) {
        let header = answer.headers().get(RETRY_AFTER);
        let seconds = header.and_then(|value| value.to_str().ok()?.parse().ok());
        return Err(PlatformError::Later(
            seconds.map_or(DEFAULT_PAUSE, Span::from_secs),
        ));
    }
    if !answer.is_success() {
        return Err(PlatformError::Failed(format!("status {status}")));
    }
    let (_, _, reader) = answer.split();
    serde_json::from_reader(reader.take(MAX_ANSWER)).map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Failed(error.to_string())
}
