//! Errors at start.

/// Why a daemon cannot start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The transport between daemons cannot start.
    #[error(transparent)]
    Peers(#[from] peers::PeersError),
    /// The shared key is invalid.
    #[error(transparent)]
    Keys(#[from] peers::KeyError),
    /// The event loop cannot start.
    #[error(transparent)]
    Traffic(#[from] traffic::StartError),
    /// A thread cannot be spawned.
    #[error("cannot start the {0} thread: {1}")]
    Thread(&'static str, std::io::Error),
}
