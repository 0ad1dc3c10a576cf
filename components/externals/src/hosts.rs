//! The platform's list of live and leaving hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use types::prelude::*;

use crate::call::{PlatformError, get};

const TIMEOUT: Span = Span::from_secs(5);

/// A listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Host {
    /// Where its service listens.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: HostState,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It stays.
    Live,
    /// It is about to go.
    Leaving,
}

#[derive(Deserialize)]
struct List {
    hosts: Vec<Host>,
}

/// A client of the list.
#[derive(Debug, Clone, Copy)]
pub struct HostList {
    address: SocketAddr,
}

impl HostList {
    /// Of the list at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// All hosts, as far as the list knows.
    ///
    /// # Errors
    /// When the list cannot be had.
    pub fn read(&self) -> Result<Vec<Host>, PlatformError> {
        Ok(get::<List>(self.address, "/hosts", TIMEOUT)?.hosts)
    }
}
