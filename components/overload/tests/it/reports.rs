//! Encoding, bounds and lifetime of reports.

use std::collections::BTreeMap;

use overload::{
    Flow, FlowKey, FlowReport, MAX_REPORT_BYTES, PeerReports, Report, ServiceReport, service_hash,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use types::prelude::*;

fn service(number: usize, flows: usize) -> ServiceReport {
    let flow = |n: usize| FlowReport {
        key: Flow::of_customer(&format!("c{n}"), 1).key,
        rank: 1,
        offered: 1.0 + n as f64,
        usual: 0.5,
    };
    ServiceReport {
        service: service_hash(&format!("s{number}")),
        offered: 300.5,
        completed: 90.3,
        rejected: 3.0,
        in_flight: 7.25,
        is_congested: flows > 0,
        flows: (0..flows).map(flow).collect(),
    }
}

fn encode(services: Vec<ServiceReport>) -> Vec<u8> {
    Report { services }.encode(&mut ChaCha8Rng::seed_from_u64(1))
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let report = Report::decode(&encode(vec![service(0, 2)])).expect("its form");
    let read = &report.services[0];
    assert_eq!(read.service, service_hash("s0"));
    assert!((read.offered - 300.5).abs() <= 0.1 && (read.in_flight - 7.25).abs() <= 0.02);
    assert!(read.is_congested);
    // The largest go first.
    let rates = read.flows.iter().map(|flow| flow.offered);
    let rates = rates.collect::<Vec<_>>();
    assert!((rates[0] - 2.0).abs() <= 0.1 && (rates[1] - 1.0).abs() <= 0.1);
}

/// Guards against heartbeats that grow with the number of customers or services.
#[test]
fn reports_keep_within_their_bytes_and_sum_up_what_does_not_fit() {
    for (services, flows) in [(1, 1_000), (3, 40), (64, 0), (64, 1_000)] {
        let services = (0..services).map(|n| service(n, flows)).collect();
        let bytes = encode(services);
        assert!(bytes.len() <= MAX_REPORT_BYTES, "{} bytes", bytes.len());
        Report::decode(&bytes).expect("its form");
    }
    let report = Report::decode(&encode(vec![service(0, 100)])).expect("its form");
    let flows = &report.services[0].flows;
    assert_eq!(flows.len(), 25);
    assert_eq!(flows[24].key, FlowKey::REST);
    let offered = flows.iter().map(|flow| flow.offered).sum::<f64>();
    assert!((offered - 5_050.0).abs() < 3.0, "{offered}");
}

/// Guards against rates below the unit being lost: most flows send a request in half a minute.
#[test]
fn small_rates_are_right_in_the_sum_over_many_reports() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let small = ServiceReport {
        offered: 0.034,
        ..service(0, 0)
    };
    let report = Report {
        services: vec![small],
    };
    let sum = (0..2_000).map(|_| {
        let read = Report::decode(&report.encode(&mut rng)).expect("its form");
        read.services[0].offered
    });
    let mean = sum.sum::<f64>() / 2_000.0;
    assert!((mean - 0.034).abs() < 0.005, "{mean}");
}

/// Guards against a daemon that counts for ever after it has fallen silent.
#[test]
fn reports_expire() {
    let domain = FailureDomain::new("a").expect("a name");
    let present = BTreeMap::from([(domain.clone(), 3)]);
    let mut peers = PeerReports::default();
    let id = DaemonId::new("d1").expect("a name");
    peers.update(Time::ZERO, id, domain.clone(), Report::default());
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    assert_eq!(peers.view(at(1_399), &present, &domain).known(), 1);
    assert_eq!(peers.view(at(1_400), &present, &domain).known(), 0);
    assert_eq!(peers.view(at(1_400), &present, &domain).present(), 3);
}

proptest! {
    /// Guards against input that panics or gives unbounded numbers.
    #[test]
    fn any_bytes_are_refused_or_give_bounded_numbers(
        mut bytes in prop::collection::vec(any::<u8>(), 0..300),
        is_versioned in any::<bool>(),
    ) {
        if let Some(first) = bytes.first_mut().filter(|_| is_versioned) {
            *first = 1;
        }
        if let Ok(report) = Report::decode(&bytes) {
            for service in &report.services {
                prop_assert!((0.0..=6_553.5).contains(&service.offered));
                prop_assert!((0.0..1_024.0).contains(&service.in_flight));
                prop_assert!(service.flows.iter().all(|flow| flow.offered.is_finite()));
            }
        }
    }
}
