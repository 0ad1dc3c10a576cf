//! The daemons that hold a named session's pin.

use std::cmp::Reverse;

use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons that hold a pin.
pub const HOMES: usize = 2;

/// A daemon that can hold pins.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its name.
    pub id: DaemonId,
    /// Where it stands.
    pub domain: FailureDomain,
    /// Its run: a daemon that restarts under its name holds no pins.
    pub run: Incarnation,
}

/// The homes of a session by rendezvous hash, first one first.
///
/// A daemon that comes or goes changes the homes of its own part of the sessions only. The
/// second home is in another failure domain than the first if there is one, so that the loss
/// of a domain leaves one of the two.
#[must_use]
pub fn homes(hash: u64, members: &[Member]) -> Vec<DaemonId> {
    let homes = home_members(hash, members).into_iter();
    homes.map(|home| home.id.clone()).collect()
}

/// The homes with their places and runs.
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
