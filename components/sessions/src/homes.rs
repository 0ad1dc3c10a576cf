//! Home daemons: the daemons that hold a named session's pin.

use std::cmp::Reverse;

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of daemons that hold each pin.
pub const HOMES_PER_SESSION: usize = 2;

/// A daemon that can hold pins.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name of the daemon.
    pub id: DaemonId,
    /// Failure domain of the daemon.
    pub domain: FailureDomain,
    /// Incarnation of the daemon, which differs after each restart: a restarted daemon has lost
    /// its pins.
    pub run: Incarnation,
}

/// Returns the homes of a session by rendezvous hashing, in order.
///
/// A daemon that joins or leaves changes the homes only of the sessions that it is or was a home
/// of. The second home is in another failure domain than the first if there is one, so that the
/// loss of one domain leaves one of the two.
#[must_use]
pub fn homes(hash: u64, members: &[Member]) -> Vec<DaemonId> {
    let homes = home_members(hash, members).into_iter();
    homes.map(|home| home.id.clone()).collect()
}

/// Returns the homes like [`homes`], with their failure domains and incarnations.
pub(crate) fn home_members(hash: u64, members: &[Member]) -> Vec<&Member> {
    let weight = |member: &Member| xxh3_64_with_seed(member.id.as_str().as_bytes(), hash);
    let Some(first) = members.iter().max_by_key(|member| weight(member)) else {
        return Vec::new();
    };
    let others = members.iter().filter(|member| member.id != first.id);
    let second =
        others.min_by_key(|member| (member.domain == first.domain, Reverse(weight(member))));
    let homes = std::iter::once(first).chain(second);
    homes.collect()
}
