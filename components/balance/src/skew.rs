//! How unevenly the upstreams of a service are loaded.

/// Returns the load per slot of the busiest upstream over the mean of all; `None` without any load.
pub fn skew(loads: impl Iterator<Item = (f64, u32)>) -> Option<f64> {
    let (mut requests, mut slots, mut busiest) = (0.0, 0.0, 0.0_f64);
    for (load, upstream_slots) in loads {
        let upstream_slots = f64::from(upstream_slots.max(1));
        requests += load;
        slots += upstream_slots;
        busiest = busiest.max(load / upstream_slots);
    }
    (requests > 0.0).then(|| busiest * slots / requests)
}
