//! Workloads and faults of the arms.

/// Parameters of the sessions. The popularity of the shared prompt prefixes is skewed: a few are
/// common and most are rare.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Sessions started per second.
    pub sessions: f64,
    /// Mean number of requests per session.
    pub turns: f64,
    /// Number of prompt prefixes that are shared between sessions.
    pub groups: u32,
    /// Tokens in a shared prefix.
    pub group_tokens: u32,
}

/// Long sessions that start with one of a few instructions.
pub const SESSIONS: Workload = Workload {
    sessions: 7.0,
    turns: 6.0,
    groups: 60,
    group_tokens: 1_500,
};

/// Short sessions about one of many long documents, which together exceed all caches.
pub const DOCUMENTS: Workload = Workload {
    sessions: 22.0,
    turns: 1.6,
    groups: 3_000,
    group_tokens: 3_000,
};

/// Fault injected into an arm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One engine runs at a fifth of its speed.
    Slow,
    /// All engines of a failure domain fail.
    DomainLost,
}
