//! Why the control thread cannot start.

/// Why a daemon cannot start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The edge between daemons.
    #[error(transparent)]
    Peers(#[from] peers::PeersError),
    /// Its keys.
    #[error(transparent)]
    Keys(#[from] peers::KeyError),
    /// The event loop.
    #[error(transparent)]
    Traffic(#[from] traffic::StartError),
    /// A thread cannot be made.
    #[error("cannot start the {0} thread: {1}")]
    Thread(&'static str, std::io::Error),
}
