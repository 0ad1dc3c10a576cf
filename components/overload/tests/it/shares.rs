//! Fair shares of a limit.

use overload::{FlowLoad, admission_probabilities};
use proptest::prelude::*;

fn flow(offered: f64, usual: f64, rank: u8) -> FlowLoad {
    FlowLoad {
        offered,
        usual,
        rank,
    }
}

fn probabilities(limit: f64, flows: &[FlowLoad]) -> Vec<f64> {
    let mut out = Vec::new();
    admission_probabilities(limit, flows, &mut out);
    out
}

fn admitted(flows: &[FlowLoad], probabilities: &[f64]) -> f64 {
    let pairs = flows.iter().zip(probabilities);
    pairs.map(|(flow, p)| flow.offered * p).sum()
}

/// Guards against one customer's burst cutting the others.
#[test]
fn a_flow_beyond_its_usual_rate_is_cut_and_does_not_cut_others() {
    let mut flows = vec![flow(70.0, 10.0, 0)];
    flows.extend((0..5).map(|_| flow(10.0, 10.0, 0)));
    let p = probabilities(90.0, &flows);
    assert!(p[1..].iter().all(|p| *p > 0.999), "{p:?}");
    assert!((p[0] - 40.0 / 70.0).abs() < 0.001, "{p:?}");
}

/// Guards against ranks having no effect, and against a low rank being starved.
#[test]
fn less_urgent_ranks_are_cut_first_but_not_below_a_third_of_the_mean() {
    let flows = [
        flow(60.0, 60.0, 0),
        flow(60.0, 60.0, 1),
        flow(60.0, 60.0, 2),
    ];
    let p = probabilities(90.0, &flows);
    assert!(p[0] > 0.999 && p[1] > p[2], "{p:?}");
    assert!((p[2] - 1.0 / 6.0).abs() < 0.001, "{p:?}");
}

proptest! {
    /// Guards against limits that are exceeded or left unused, whatever the flows are.
    #[test]
    fn the_limit_is_used_up_and_not_exceeded(
        limit in 0.0..500.0_f64,
        flows in prop::collection::vec((0.0..200.0_f64, 0.0..200.0_f64, 0..4_u8), 1..40),
    ) {
        let flows = flows.into_iter().map(|(o, u, r)| flow(o, u, r)).collect::<Vec<_>>();
        let offered = flows.iter().map(|flow| flow.offered).sum::<f64>();
        let p = probabilities(limit, &flows);
        prop_assert!(p.iter().all(|p| (0.0..=1.0 + 1e-9).contains(p)), "{p:?}");
        let expected = offered.min(limit);
        prop_assert!((admitted(&flows, &p) - expected).abs() < 0.01 + expected * 0.001);
        let floor = (limit / offered.max(1e-9)).min(1.0) / 3.0;
        prop_assert!(p.iter().all(|p| *p >= floor - 1e-9), "{p:?}");
    }
}
