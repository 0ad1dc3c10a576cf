//! Client of the platform's list of hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use types::prelude::*;

use crate::call::{PlatformError, get};

const TIMEOUT: Span = Span::from_secs(5);

/// A host on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Host {
    /// Address of the service on this host.
    pub address: SocketAddr,
    /// Whether the host stays or is about to be removed.
    pub state: HostState,
}

/// Whether a host stays or is about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host stays.
    Live,
    /// The host is about to be removed.
    Leaving,
}

#[derive(Deserialize)]
struct HostsBody {
    hosts: Vec<Host>,
}

/// A client of the list of hosts.
#[derive(Debug, Clone, Copy)]
pub struct HostList {
    address: SocketAddr,
}

impl HostList {
    /// Creates a client of the list at this address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads all hosts on the list.
    ///
    /// # Errors
    /// If the list refuses or fails.
    pub fn read(&self) -> Result<Vec<Host>, PlatformError> {
        Ok(get::<HostsBody>(self.address, "/hosts", TIMEOUT)?.hosts)
    }
}
