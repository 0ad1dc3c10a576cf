//! Tests of the sums of reports.

use balance::{Average, AverageLoad, PeerLoad, Reports, ServiceLoad, estimate, skew};
use proptest::prelude::*;
use types::prelude::*;

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

fn daemon(n: usize) -> DaemonId {
    DaemonId::new(&format!("d{n}")).expect("a name")
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("a name")
}

fn load(upstream: u32, requests: f64) -> AverageLoad {
    AverageLoad::new(upstream, requests).expect("not zero")
}

fn sums(reports: &mut Reports, now: Time, members: &[(DaemonId, FailureDomain)]) -> PeerLoad {
    let present = members.iter().map(|(daemon, domain)| (daemon, domain));
    let sums = reports.sums(now, present);
    sums.get(&7).copied().unwrap_or_default()
}

/// A fleet of which a part is known would look idle.
#[test]
fn known_daemons_stand_for_their_failure_domain() {
    let mut reports = Reports::default();
    let members = (0..10).map(|n| (daemon(n), domain(if n < 6 { "a" } else { "b" })));
    let members = members.collect::<Vec<_>>();
    for n in [0, 1, 6] {
        let requests = if n < 6 { 0.5 } else { 1.0 };
        reports.update(at(0), daemon(n), vec![load(7, requests)]);
    }
    let sum = sums(&mut reports, at(0), &members);
    assert!(
        (sum.total - (6.0 * 0.5 + 4.0 * 1.0)).abs() < 0.01,
        "{sum:?}"
    );
}

/// A failure domain of which no daemon is known would count as idle.
#[test]
fn known_daemons_stand_for_a_domain_of_which_none_is_known() {
    let mut reports = Reports::default();
    let members = (0..4).map(|n| (daemon(n), domain(if n < 2 { "a" } else { "b" })));
    let members = members.collect::<Vec<_>>();
    reports.update(at(0), daemon(0), vec![load(7, 0.5)]);
    let sum = sums(&mut reports, at(0), &members);
    assert!((sum.total - 4.0 * 0.125).abs() < 0.01, "capped: {sum:?}");
}

/// Requests of daemons that left or fell silent would count for ever.
#[test]
fn reports_of_daemons_that_are_gone_or_silent_do_not_count() {
    let mut reports = Reports::default();
    reports.update(at(0), daemon(0), vec![load(7, 1.0)]);
    reports.update(at(0), daemon(1), vec![load(7, 1.0)]);
    let members = [(daemon(0), domain("a"))];
    let sum = sums(&mut reports, at(0), &members);
    assert!(sum.total > 0.0);
    assert_eq!(sums(&mut reports, at(1_400), &members), PeerLoad::default());
}

/// An old report would still speak against its upstream alone.
#[test]
fn an_old_report_counts_at_all_upstreams_of_the_service() {
    let old = PeerLoad {
        total: 8.0,
        fresh: 0.0,
    };
    let mut service = ServiceLoad::default();
    service.add(old, 6);
    service.add(PeerLoad::default(), 6);
    assert_eq!(estimate(old, 6, &service), 4.0);
    assert_eq!(estimate(PeerLoad::default(), 6, &service), 4.0);
}

/// A request would be left out between two reports.
#[test]
fn an_average_holds_what_happened_between_two_reports() {
    let mut average = Average::default();
    average.set(at(0), 1);
    average.set(at(60), 0);
    assert!((0.1..0.12).contains(&average.get(at(60))));
    assert!(average.get(at(1_060)) < average.get(at(560)));
}

/// Operators would be told of skew where there is none.
#[test]
fn skew_is_one_for_even_load_per_slot() {
    assert_eq!(skew([(3.0, 6), (6.0, 12)].into_iter()), Some(1.0));
    assert_eq!(skew([(6.0, 6), (0.0, 6)].into_iter()), Some(2.0));
    assert_eq!(skew([(0.0, 6)].into_iter()), None);
}

proptest! {
    /// A daemon that reports falsely would keep all others away from an upstream.
    #[test]
    fn one_false_report_moves_a_sum_by_a_bounded_part(
        honest in proptest::collection::vec(1_u16..128, 4..40),
        false_units in any::<u16>(),
    ) {
        let members = (0..=honest.len()).map(|n| (daemon(n), domain("a")));
        let members = members.collect::<Vec<_>>();
        let mut reports = Reports::default();
        let mean = honest.iter().map(|u| f64::from(*u) / 64.0).sum::<f64>() / honest.len() as f64;
        for (n, in_flight) in honest.iter().enumerate() {
            let entry = AverageLoad { upstream: 7, in_flight: *in_flight };
            reports.update(at(0), daemon(n), vec![entry]);
        }
        let entry = AverageLoad { upstream: 7, in_flight: false_units };
        reports.update(at(0), daemon(honest.len()), vec![entry; 31]);
        let sum = sums(&mut reports, at(0), &members);
        let most = mean * honest.len() as f64 + 4.0 * mean + 0.125;
        prop_assert!(sum.total.is_finite() && sum.total <= most + 0.01, "{} of {}", sum.total, most);
        prop_assert!(sum.fresh >= 0.0 && sum.fresh <= sum.total + 1e-9);
    }

    /// A duplicated or reordered report would count twice.
    #[test]
    fn the_order_of_duplicates_does_not_matter(units in 1_u16..64, copies in 1_usize..5) {
        let members = [(daemon(0), domain("a")), (daemon(1), domain("a"))];
        let mut reports = Reports::default();
        for _ in 0..copies {
            for n in 0..2 {
                let entry = AverageLoad { upstream: 7, in_flight: units };
                reports.update(at(0), daemon(n), vec![entry]);
            }
        }
        let sum = sums(&mut reports, at(0), &members);
        prop_assert!((sum.total - 2.0 * f64::from(units) / 64.0).abs() < 1e-9);
    }
}
