//! Errors at the start of a daemon.

/// Reason why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The callers' address cannot be listened on.
    #[error(transparent)]
    Callers(#[from] callers::CallersError),
    /// A thread cannot be started.
    #[error("node: cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The addresses of the key-value service cannot be used.
    #[error("store: {0}")]
    Store(String),
    /// The keys in `peers.keys` cannot be used.
    #[error("peers.keys: {0}")]
    Keys(String),
    /// The operators' API cannot be started.
    #[error(transparent)]
    Operators(#[from] operators::StartError),
    /// The listener for other daemons cannot be started.
    #[error("peers: {0}")]
    Peers(String),
}
