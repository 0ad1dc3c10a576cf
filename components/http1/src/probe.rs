//! Probes whether a program still listens on its address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Delays before each probe. A program's connections may break a moment before its address is
/// closed.
const PROBE_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(150)];
/// Timeout of one probe. A running program accepts within a few ms; an unreachable one never
/// answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether an address refuses connections, which shows that no program listens there. An address
/// that does not answer may only be unreachable.
pub async fn probe_refused(address: SocketAddr) -> bool {
    for wait in PROBE_DELAYS {
        tokio::time::sleep(wait).await;
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if matches!(opened, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}
