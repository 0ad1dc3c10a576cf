//! Tells the router which upstreams the platform's list of hosts marks as leaving.

use std::collections::HashMap;

use routing::{LeavingSign, Router};
use types::prelude::*;

use externals::{Host, HostState};

/// Applies a list. An upstream that is not on it keeps its state: the list lags, and a new host
/// takes requests before it is listed.
pub fn apply(router: &mut Router, now: Time, hosts: &[Host]) {
    let states: HashMap<_, _> = hosts
        .iter()
        .map(|host| (host.address, host.state))
        .collect();
    let upstreams = router.upstreams();
    let listed = upstreams.filter_map(|(index, upstream)| {
        let state = states.get(&upstream.spec().address)?;
        Some((index, *state))
    });
    for (index, state) in listed.collect::<Vec<_>>() {
        match state {
            HostState::Leaving => router.record_leaving(now, index, LeavingSign::HostList),
            HostState::Live => router.record_listed_live(index),
        }
    }
}
