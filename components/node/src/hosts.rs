//! Reads the platform's list of hosts, on a thread of its own.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use types::prelude::*;

use crate::event::Event;

/// Time between two reads.
const INTERVAL: Duration = Duration::from_secs(1);
/// A read is over within.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest list accepted: 20,000 hosts and some.
const MAX_LIST: ByteSize = ByteSize(4 << 20);

/// What the list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is up.
    Live,
    /// It goes soon and wants nothing new.
    Leaving,
}

/// A host of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Host {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: HostState,
}

#[derive(Deserialize)]
struct List {
    hosts: Vec<Host>,
}

/// Why a list could not be had.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Http(#[from] attohttpc::Error),
    #[error("the answer has status {0}")]
    Status(u16),
    #[error("the list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the list is cut or longer than {MAX_LIST}: {0}")]
    Body(std::io::Error),
}

/// Starts the reader; it ends with the control thread.
///
/// # Errors
/// When the thread cannot be started.
pub(crate) fn start(list: SocketAddr, events: flume::Sender<Event>) -> std::io::Result<()> {
    let thread = std::thread::Builder::new().name("hosts".to_owned());
    thread.spawn(move || follow(list, &events)).map(drop)
}

fn follow(list: SocketAddr, events: &flume::Sender<Event>) {
    let mut has_failed = false;
    while !events.is_disconnected() {
        let read = read(list);
        if let Err(error) = &read
            && !has_failed
        {
            tracing::warn!("hosts: the list of {list} cannot be read: {error}");
        }
        has_failed = read.is_err();
        if let Ok(hosts) = read {
            let _ = events.send(Event::Hosts(hosts));
        }
        std::thread::sleep(INTERVAL);
    }
}

fn read(list: SocketAddr) -> Result<Vec<Host>, ReadError> {
    use std::io::Read;
    let request = attohttpc::get(format!("http://{list}/hosts"));
    let (status, _, reader) = request.timeout(TIMEOUT).send()?.split();
    if !status.is_success() {
        return Err(ReadError::Status(status.as_u16()));
    }
    let mut body = Vec::new();
    let read = reader.take(MAX_LIST.0 + 1).read_to_end(&mut body);
    read.map_err(ReadError::Body)?;
    Ok(serde_json::from_slice::<List>(&body)?.hosts)
}
