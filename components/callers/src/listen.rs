//! Opens listening sockets and accepts connections.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::time::Duration;

use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Most connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Delay after a failed accept, for example if no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens a non-blocking listening socket.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<StdListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Waits for the next connection; retries after errors.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                tracing::warn!("callers: cannot accept: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
