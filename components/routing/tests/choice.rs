//! Choices of upstream: load, affinity, distance, ejection, leaving.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::*;
use types::prelude::*;

const SLOTS: u32 = 8;

fn place(domain: &str, region: &str) -> Place {
    Place {
        failure_domain: domain.parse().unwrap(),
        region: region.parse().unwrap(),
    }
}

fn spec(number: usize, domain: &str, target: TargetIndex) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("w{number}").parse().unwrap(),
        address: ([127, 0, 0, 1], 4000 + number as u16).into(),
        place: place(domain, if domain == "away" { "far" } else { "near" }),
        slots: SLOTS,
        presumed: vec![target],
    }
}

struct Fixture {
    router: Router,
    target: TargetIndex,
    rng: SmallRng,
    now: Time,
}

impl Fixture {
    fn new(domains: &[&str]) -> Self {
        let daemon = "d0".parse().unwrap();
        let mut router = Router::new(&daemon, place("a", "near"), Tuning::default());
        let version = "m@1".parse().unwrap();
        let target = router.add_target(&Target::Version(version)).unwrap();
        let specs = domains.iter().enumerate();
        router.configure(specs.map(|(i, d)| spec(i, d, target)).collect());
        Self {
            router,
            target,
            rng: SmallRng::seed_from_u64(1),
            now: Time::ZERO + Span::from_secs(100),
        }
    }

    fn demand<'a>(&self, prefix: &'a [PrefixHash], avoid: &'a [UpstreamIndex]) -> Demand<'a> {
        Demand {
            target: self.target,
            prefix,
            priority: Priority::Interactive,
            avoid,
        }
    }

    fn pick(&mut self, prefix: &[PrefixHash]) -> UpstreamIndex {
        let demand = self.demand(prefix, &[]);
        let index = self.router.pick(self.now, &demand, &mut self.rng).unwrap();
        self.router.started(index, &demand);
        index
    }

    fn finish(&mut self, index: UpstreamIndex, outcome: Outcome) {
        let target = self.target;
        self.router
            .finished(self.now, index, target, outcome, &mut self.rng);
    }

    fn fail_next(&mut self, index: UpstreamIndex, times: usize) {
        let demand = self.demand(&[], &[]);
        for _ in 0..times {
            self.router.started(index, &demand);
            self.finish(index, Outcome::Failed);
        }
    }

    /// Picks at a standstill: how often each was chosen of `count`.
    fn chosen(&mut self, count: usize) -> BTreeMap<UpstreamIndex, usize> {
        let mut chosen = BTreeMap::new();
        for _ in 0..count {
            let index = self.pick(&[]);
            *chosen.entry(index).or_default() += 1;
            self.finish(index, Outcome::Cancelled);
        }
        chosen
    }

    fn wait(&mut self, secs: u64) {
        self.now = self.now + Span::from_secs(secs);
    }
}

fn answered(millis: u64) -> Outcome {
    Outcome::Answered {
        first_token: Span::from_millis(100),
        per_token: Span::from_millis(millis),
    }
}

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: SLOTS,
        loaded: None,
        leaving: false,
    }
}

const W0: UpstreamIndex = UpstreamIndex(0);
const W1: UpstreamIndex = UpstreamIndex(1);

#[test]
fn can_spread_by_own_work_without_any_report() {
    let mut f = Fixture::new(&["a"; 8]);
    let mut most = 0;
    for _ in 0..32 {
        let index = f.pick(&[]);
        most = most.max(f.router.upstream(index).unwrap().in_flight());
    }
    assert!(most <= 8, "one of 8 got {most} of 32");
}

#[test]
fn can_prefer_what_reports_say_is_idle() {
    let mut f = Fixture::new(&["a", "a"]);
    f.router.report(f.now, W0, &report(7));
    f.router.report(f.now, W1, &report(0));
    let chosen = f.chosen(200);
    assert!(chosen[&W1] > 140, "{chosen:?}");
}

#[test]
fn can_forget_a_report_as_it_ages() {
    // A daemon that has not heard from an upstream for a minute still holds its last report,
    // "idle". All daemons with such a report would send everything there. The report's
    // weight fades toward the pool's mean, so that the stale one draws no more than others.
    let mut f = Fixture::new(&["a"; 4]);
    let polled = |f: &Fixture, running| LoadReport {
        loaded: Some(vec![f.target]),
        ..report(running)
    };
    f.router.report(f.now, W0, &polled(&f, 0));
    f.wait(60);
    for _ in 0..200 {
        for (other, running) in [(1, 2), (2, 6), (3, 6)] {
            f.router
                .report(f.now, UpstreamIndex(other), &polled(&f, running));
        }
    }
    let chosen = f.chosen(400);
    let stale = chosen.get(&W0).copied().unwrap_or(0);
    assert!(chosen[&W1] > stale, "{chosen:?}");
}

#[test]
fn can_return_to_the_upstream_of_a_prefix_until_it_is_busy() {
    let mut f = Fixture::new(&["a"; 8]);
    let prefix = [PrefixHash(1), PrefixHash(2)];
    let home = f.pick(&prefix);
    f.finish(home, answered(10));
    for _ in 0..20 {
        assert_eq!(f.pick(&prefix), home);
        f.finish(home, answered(10));
    }
    let first: Vec<_> = (0..40).map(|_| f.pick(&prefix)).collect();
    let at_home = first.iter().filter(|index| **index == home).count();
    assert!(at_home <= SLOTS as usize + 1, "{at_home} of 40 at one home");
}

#[test]
fn can_agree_on_homes_between_daemons() {
    let domains = ["a"; 16];
    let mut first = Fixture::new(&domains);
    let mut second = Fixture::new(&domains);
    let daemon = "another".parse().unwrap();
    second.router = Router::new(&daemon, place("a", "near"), Tuning::default());
    let version = Target::Version("m@1".parse().unwrap());
    second.target = second.router.add_target(&version).unwrap();
    let specs = domains.iter().enumerate();
    let target = second.target;
    second
        .router
        .configure(specs.map(|(i, d)| spec(i, d, target)).collect());
    let mut agreed = 0;
    for prefix in 0..100 {
        let prefix = [PrefixHash(prefix * 7919)];
        let index = first.pick(&prefix);
        first.finish(index, Outcome::Cancelled);
        let other = second.pick(&prefix);
        second.finish(other, Outcome::Cancelled);
        agreed += usize::from(index == other);
    }
    assert!(agreed > 90, "{agreed} of 100");
}

#[test]
fn can_stay_near_and_spill_when_near_is_full() {
    let mut f = Fixture::new(&["a", "a", "away", "away"]);
    let chosen: Vec<_> = (0..24).map(|_| f.pick(&[])).collect();
    assert!(chosen[..12].iter().all(|index| index.0 < 2), "{chosen:?}");
    assert!(chosen.iter().any(|index| index.0 >= 2), "{chosen:?}");
}

#[test]
fn can_give_nothing_to_a_leaving_upstream() {
    // The host list lags, so an upstream that is going down says so first by refusing work or
    // by closing connections. Whatever the sign, a request sent after it could be cut.
    use LeavingSign::*;
    for sign in [HostList, Refusal, ClosedConnection] {
        let mut f = Fixture::new(&["a"; 3]);
        f.router.leaving(f.now, W0, sign);
        assert!(!f.chosen(100).contains_key(&W0), "{sign:?}");
    }
}

#[test]
fn can_keep_own_signs_of_leaving_against_a_lagging_list() {
    let mut f = Fixture::new(&["a"; 3]);
    f.router.leaving(f.now, W0, LeavingSign::Refusal);
    f.router.listed_live(W0);
    assert!(!f.chosen(100).contains_key(&W0));
    f.wait(31);
    assert!(f.chosen(100).contains_key(&W0));
}

#[test]
fn can_eject_a_failing_upstream_and_let_it_back_gradually() {
    let mut f = Fixture::new(&["a"; 4]);
    f.fail_next(W0, 3);
    assert!(!f.chosen(200).contains_key(&W0));
    f.wait(7);
    let early = f.chosen(400).get(&W0).copied().unwrap_or(0);
    f.wait(20);
    let late = f.chosen(400)[&W0];
    assert!(early < 30 && late > 60, "early {early}, late {late}");
}

#[test]
fn can_eject_again_after_one_failure_on_return() {
    // A broken upstream comes back after its ejection. Without a memory of the ejection it
    // would fail three callers at each return.
    let mut f = Fixture::new(&["a"; 4]);
    f.fail_next(W0, 3);
    f.wait(7);
    f.chosen(1);
    f.fail_next(W0, 1);
    assert!(f.router.upstream(W0).unwrap().health().is_ejected());
}

#[test]
fn can_keep_half_of_a_pool_whatever_fails() {
    // The daemon's own network fails for a moment: every upstream looks broken at once. If all
    // were ejected, the daemon would refuse everything for seconds after its network is back.
    let mut f = Fixture::new(&["a"; 6]);
    for number in 0..6 {
        f.fail_next(UpstreamIndex(number), 5);
    }
    assert_eq!(f.router.eligible(f.target), 3);
    f.pick(&[]);
}

#[test]
fn can_eject_a_slow_upstream() {
    let mut f = Fixture::new(&["a"; 5]);
    for round in 0..10 {
        for number in 0..5 {
            let index = UpstreamIndex(number);
            let demand = f.demand(&[], &[]);
            f.router.started(index, &demand);
            f.finish(index, answered(if number == 0 { 100 } else { 20 + round }));
        }
    }
    assert!(f.router.upstream(W0).unwrap().health().is_ejected());
    assert_eq!(f.router.eligible(f.target), 4);
}

#[test]
fn can_turn_from_a_lost_failure_domain() {
    // A failure domain goes dark. Each of its upstreams would have to fail several callers
    // before its own ejection; after four of them failed, the rest are avoided unasked.
    let mut f = Fixture::new(&["b", "b", "b", "b", "b", "b", "c", "c", "c", "c", "c", "c"]);
    for number in 0..4 {
        let index = UpstreamIndex(number);
        let demand = f.demand(&[], &[]);
        f.router.started(index, &demand);
        f.finish(index, Outcome::Unreachable);
    }
    let chosen = f.chosen(200);
    let lost: usize = (0..6)
        .filter_map(|number| chosen.get(&UpstreamIndex(number)))
        .sum();
    assert!(lost < 20, "{chosen:?}");
}

#[test]
fn can_retry_in_another_failure_domain() {
    // A failure domain has just gone dark and this daemon has not noticed. A request that
    // could not reach its upstream is sent to the next one there, and the next, and is lost.
    let domains = ["b", "b", "b", "b", "b", "b", "c", "c"];
    let mut f = Fixture::new(&domains);
    let tried = [W0];
    for _ in 0..50 {
        let demand = f.demand(&[], &tried);
        let index = f.router.pick(f.now, &demand, &mut f.rng).unwrap();
        assert_eq!(domains[index.0 as usize], "c");
    }
}

#[test]
fn can_stop_using_an_upstream_that_lacks_the_target() {
    let mut f = Fixture::new(&["a"; 2]);
    let demand = f.demand(&[], &[]);
    f.router.started(W0, &demand);
    f.finish(W0, Outcome::NotLoaded);
    assert!(!f.chosen(50).contains_key(&W0));
    let mut full = report(0);
    full.loaded = Some(vec![f.target, f.target, TargetIndex(99)]);
    f.router.report(f.now, W0, &full);
    assert!(f.chosen(50).contains_key(&W0));
}

#[test]
fn errors_when_all_were_tried() {
    let mut f = Fixture::new(&["a"; 2]);
    let tried = [W0, W1];
    let demand = f.demand(&[], &tried);
    let none = f.router.pick(f.now, &demand, &mut f.rng);
    assert_eq!(none, Err(NoUpstream::NoneLive));
}

#[test]
fn can_send_interactive_work_where_own_batch_work_gives_way() {
    // A batch fills every slot. Sent anywhere, an interactive request waits until something
    // ends there; where this daemon can cancel a batch request of its own it does not.
    let mut f = Fixture::new(&["a"; 8]);
    for number in 0..8 {
        f.router
            .report(f.now, UpstreamIndex(number), &report(SLOTS));
    }
    f.router.batch_started(W1);
    let mut chosen = 0;
    for _ in 0..20 {
        let demand = f.demand(&[], &[]);
        let index = f.router.pick(f.now, &demand, &mut f.rng).unwrap();
        chosen += usize::from(index == W1);
    }
    assert_eq!(chosen, 20);
    assert!(f.router.must_give_way(f.now, W1));
    assert!(!f.router.must_give_way(f.now, W0));
    f.router.batch_ended(W1);
    assert!(!f.router.must_give_way(f.now, W1));
}

#[test]
fn can_keep_the_number_of_a_removed_upstream_until_its_work_ends() {
    // An operator removes an upstream while a request runs on it. Were its number given to a
    // new upstream at once, the old request's end would be counted against the new one.
    let mut f = Fixture::new(&["a"]);
    let index = f.pick(&[]);
    f.router.configure(vec![spec(7, "a", f.target)]);
    let new = f.pick(&[]);
    assert_ne!(new, index);
    f.finish(index, answered(10));
    assert_eq!(f.router.upstream(new).unwrap().in_flight(), 1);
    assert!(f.router.upstream(index).is_none());
}

#[test]
fn can_poll_the_subset_often_and_the_rest_in_rotation() {
    let mut f = Fixture::new(&["a"; 100]);
    let interval = Span::from_secs(1);
    let mut asked = BTreeMap::<UpstreamIndex, usize>::new();
    for _ in 0..100 {
        f.wait(1);
        for index in f.router.due_polls(f.now, interval, 200) {
            *asked.entry(index).or_default() += 1;
        }
    }
    let often = asked.values().filter(|count| **count == 100).count();
    let seldom = asked.values().filter(|count| **count == 10).count();
    assert_eq!((often, seldom), (32, 68));
}

// Callers are told that there is no upstream while one stands idle. One of two was ejected
// after failures, then the other began to leave. Cause: an ejection counted as a certainty.
#[test]
fn can_use_an_ejected_upstream_when_the_others_left() {
    let mut fixture = Fixture::new(&["a", "a"]);
    let (first, second) = (UpstreamIndex(0), UpstreamIndex(1));
    fixture.fail_next(first, 10);
    let ejected = fixture.router.upstream(first).unwrap();
    assert!(ejected.health().is_ejected());
    fixture
        .router
        .leaving(fixture.now, second, LeavingSign::Refusal);
    assert_eq!(fixture.pick(&[]), first);
}
