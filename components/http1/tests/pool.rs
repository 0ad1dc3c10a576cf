//! Bounds of the connection pool.

use http1::{MAX_IDLE_PER_UPSTREAM, max_idle};

/// Idle connections of a large fleet use up an upstream's connections, and requests are reset.
#[test]
fn a_fleet_keeps_at_most_half_of_an_upstreams_connections_idle() {
    for max_connections in [1_u32, 96, 410, 590, 720] {
        for daemons in [1, 6, 58, 88, 460] {
            let kept = max_idle(max_connections, daemons) * daemons;
            assert!(
                kept * 2 <= max_connections as usize,
                "{kept} of {max_connections}, {daemons} daemons"
            );
        }
    }
}

#[test]
fn a_small_fleet_keeps_as_many_connections_as_before() {
    assert_eq!(max_idle(370, 9), MAX_IDLE_PER_UPSTREAM);
    assert_eq!(max_idle(410, 0), MAX_IDLE_PER_UPSTREAM);
}
