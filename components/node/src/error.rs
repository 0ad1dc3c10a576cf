//! Why a daemon could not start.

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Callers' address cannot be listened on.
    #[error(transparent)]
    Callers(#[from] callers::CallersError),
    /// A thread cannot be started.
    #[error("node: cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The key-value service's addresses cannot be used.
    #[error("store: {0}")]
    Store(String),
    /// Keys cannot be used.
    #[error("peers.keys: {0}")]
    Keys(String),
    /// Operators' API cannot be started.
    #[error(transparent)]
    Operators(#[from] operators::StartError),
    /// Connections between daemons cannot be started.
    #[error("peers: {0}")]
    Peers(String),
}
