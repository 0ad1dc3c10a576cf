//! Load reports, orders and cache events of engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use types::prelude::*;

use crate::call::{Call, Client, Reuse, instant_after};
use crate::chat::read_json;
use crate::error::{AttemptError, FailureCause, OrderError};

/// An engine's report on its load.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Loaded versions.
    pub versions: Vec<VersionId>,
    /// Versions being loaded.
    #[serde(default)]
    pub loading: Vec<VersionId>,
    /// Whether the engine accepts no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Fencing token of the last order.
    #[serde(default)]
    pub fencing: u64,
}

/// The role that an engine is ordered to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts work.
    Serve,
    /// Finishes its running work and accepts no more.
    Leaving,
}

/// Changes of an engine's prefix cache; some may be missing.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// Number to pass as `after` in the next request.
    pub next: u64,
    /// Changes in order.
    pub events: Vec<CacheEvent>,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// Hash of the prefix, in hexadecimal.
    pub prefix: String,
    /// What happened to the prefix.
    pub kind: CacheEventKind,
}

/// Whether a prefix entered or left the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// It is cached now.
    Stored,
    /// It is no longer cached.
    Evicted,
}

#[derive(Debug, Serialize)]
struct VersionOrder<'a> {
    version: &'a VersionId,
    fencing: u64,
}

#[derive(Debug, Serialize)]
struct RoleOrder {
    role: Role,
    fencing: u64,
}

impl Client {
    /// Asks an engine for its load.
    ///
    /// # Errors
    /// If no valid report arrives in time.
    pub async fn load_report(
        &self,
        upstream: SocketAddr,
        timeout: Span,
    ) -> Result<LoadReport, AttemptError> {
        self.get(upstream, "/load", timeout).await
    }

    /// Asks an engine for the changes of its prefix cache after a sequence number.
    ///
    /// # Errors
    /// If no valid list arrives in time.
    pub async fn cache_events(
        &self,
        upstream: SocketAddr,
        after: u64,
        timeout: Span,
    ) -> Result<CacheEvents, AttemptError> {
        let path = format!("/cache/events?after={after}");
        self.get(upstream, &path, timeout).await
    }

    /// Orders an engine to load a version. Idempotent.
    ///
    /// # Errors
    /// If the engine refuses, or it is unknown whether the order was carried out.
    pub async fn order_load(
        &self,
        upstream: SocketAddr,
        version: &VersionId,
        fencing: u64,
        timeout: Span,
    ) -> Result<(), OrderError> {
        self.order_version(upstream, "/orders/load", version, fencing, timeout)
            .await
    }

    /// Orders an engine to unload a version. Idempotent.
    ///
    /// # Errors
    /// If the engine refuses, or it is unknown whether the order was carried out.
    pub async fn order_unload(
        &self,
        upstream: SocketAddr,
        version: &VersionId,
        fencing: u64,
        timeout: Span,
    ) -> Result<(), OrderError> {
        self.order_version(upstream, "/orders/unload", version, fencing, timeout)
            .await
    }

    /// Orders an engine to change its role. Idempotent.
    ///
    /// # Errors
    /// If the engine refuses, or it is unknown whether the order was carried out.
    pub async fn order_role(
        &self,
        upstream: SocketAddr,
        role: Role,
        fencing: u64,
        timeout: Span,
    ) -> Result<(), OrderError> {
        let order = RoleOrder { role, fencing };
        self.order(upstream, "/orders/role", &order, timeout).await
    }

    async fn order_version(
        &self,
        upstream: SocketAddr,
        path: &str,
        version: &VersionId,
        fencing: u64,
        timeout: Span,
    ) -> Result<(), OrderError> {
        let order = VersionOrder { version, fencing };
        self.order(upstream, path, &order, timeout).await
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        upstream: SocketAddr,
        path: &str,
        timeout: Span,
    ) -> Result<T, AttemptError> {
        let call = control_call(upstream, Method::GET, path, Bytes::new(), timeout);
        let response = self.send(&call).await?;
        let answer = read_json::<Value>(self, response).await;
        match answer.map_err(AttemptError::Unknown)? {
            (200, value) => serde_json::from_value(value)
                .map_err(|e| AttemptError::Unknown(FailureCause::Malformed(e.to_string()))),
            (status, value) => Err(AttemptError::Status {
                status,
                message: value.to_string(),
                retry_after: None,
            }),
        }
    }

    async fn order(
        &self,
        upstream: SocketAddr,
        path: &str,
        order: &impl Serialize,
        timeout: Span,
    ) -> Result<(), OrderError> {
        let no_answer = |e: &dyn std::fmt::Display| OrderError::NoAnswer(e.to_string());
        let body = serde_json::to_vec(order).map_err(|e| no_answer(&e))?;
        let call = control_call(upstream, Method::POST, path, body.into(), timeout);
        let response = self.send(&call).await.map_err(|e| no_answer(&e))?;
        let answer = read_json::<Value>(self, response).await;
        match answer.map_err(|e| no_answer(&e))? {
            (200 | 202, _) => Ok(()),
            (409, value) if value["fencing"].is_u64() => Err(OrderError::Fenced {
                held: value["fencing"].as_u64().unwrap_or(0),
            }),
            (status, value) => Err(OrderError::Refused {
                status,
                message: value.to_string(),
            }),
        }
    }
}

/// Builds a load, cache or order request; it never uses a pooled connection.
fn control_call(
    upstream: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    timeout: Span,
) -> Call<'_> {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Call {
        upstream,
        method,
        path,
        headers,
        body,
        read_timeout: timeout.to_duration(),
        expires_at: instant_after(timeout),
        reuse: Reuse::Never,
    }
}
