//! Reads the platform's list of hosts regularly, on a thread of its own.

use std::net::SocketAddr;
use std::time::Duration;

use externals::HostList;

use crate::event::Event;

/// Pause between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the thread; it ends once the control thread has ended.
///
/// # Errors
/// When the thread cannot be started.
pub(crate) fn start(list: SocketAddr, events: flume::Sender<Event>) -> std::io::Result<()> {
    let thread = std::thread::Builder::new().name("hosts".to_owned());
    thread
        .spawn(move || follow(HostList::new(list), &events))
        .map(drop)
}

fn follow(list: HostList, events: &flume::Sender<Event>) {
    let mut has_failed = false;
    while !events.is_disconnected() {
        let read = list.read();
        if let Err(error) = &read
            && !has_failed
        {
            tracing::warn!("hosts: the list cannot be read: {error}");
        }
        has_failed = read.is_err();
        if let Ok(hosts) = read {
            let _ = events.send(Event::Hosts(hosts));
        }
        std::thread::sleep(READ_INTERVAL);
    }
}
