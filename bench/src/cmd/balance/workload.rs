//! What callers send, and what goes wrong.

/// What callers send. Few of the beginnings that sessions share are common, most are rare.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Sessions begun a second.
    pub sessions: f64,
    /// Mean requests of a session.
    pub turns: f64,
    /// Beginnings that sessions share.
    pub groups: u32,
    /// Tokens of such a beginning.
    pub group_tokens: u32,
}

/// Long sessions that begin with one of a few instructions.
pub const SESSIONS: Workload = Workload {
    sessions: 7.0,
    turns: 6.0,
    groups: 60,
    group_tokens: 1_500,
};

/// Short sessions about one of many long documents, more than all caches hold.
pub const DOCUMENTS: Workload = Workload {
    sessions: 22.0,
    turns: 1.6,
    groups: 3_000,
    group_tokens: 3_000,
};

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One engine at a fifth of its speed.
    Slow,
    /// All engines of a failure domain are gone.
    DomainLost,
}
