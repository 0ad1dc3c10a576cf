//! Whether a program still listens on its address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Probes are sent after these delays: a program's connections may break a moment before its
/// address is closed.
const PROBE_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(150)];
/// A program that lives accepts within some ms; one behind a cut never answers.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);

/// Whether an address refuses connections: nobody listens there. One that does not answer may be
/// cut off only.
pub async fn probe_refused(address: SocketAddr) -> bool {
    for wait in PROBE_DELAYS {
        tokio::time::sleep(wait).await;
        let opened = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(address)).await;
        if matches!(opened, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
    }
    false
}
