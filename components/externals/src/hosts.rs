//! Client of the platform's list of hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;
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
    /// Entries as they are: one that cannot be read does not hide the others.
    hosts: Vec<Box<RawValue>>,
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

    /// Reads all hosts on the list. Entries that cannot be read are left out.
    ///
    /// # Errors
    /// If the list refuses or fails.
    pub fn read(&self) -> Result<Vec<Host>, PlatformError> {
        let body = get::<HostsBody>(self.address, "/hosts", TIMEOUT)?;
        let entries = body.hosts.iter();
        let hosts = entries.filter_map(|entry| match serde_json::from_str(entry.get()) {
            Ok(host) => Some(host),
            Err(e) => {
                tracing::debug!("hosts: an entry cannot be read and is left out: {e}");
                None
            }
        });
        Ok(hosts.collect())
    }
}
