//! Choice of upstream: load, affinity, distance, ejection, leaving.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::*;
use types::prelude::*;

const SLOTS: u32 = 8;

fn location(domain: &str, region: &str) -> Location {
    Location {
        failure_domain: domain.parse().unwrap(),
        region: region.parse().unwrap(),
    }
}

fn spec(number: usize, domain: &str, target: TargetIndex) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("w{number}").parse().unwrap(),
        address: ([127, 0, 0, 1], 4000 + number as u16).into(),
        location: location(domain, if domain == "away" { "far" } else { "near" }),
        slots: SLOTS,
        assumed_loaded: vec![target],
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
        let mut router = Router::new(&daemon, location("a", "near"), Tuning::default());
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

    fn request<'a>(
        &self,
        prefix: &'a [PrefixHash],
        tried: &'a [UpstreamIndex],
    ) -> RouteRequest<'a> {
        RouteRequest {
            target: self.target,
            prefix,
            priority: Priority::Interactive,
            tried,
        }
    }

    fn pick(&mut self, prefix: &[PrefixHash]) -> UpstreamIndex {
        let request = self.request(prefix, &[]);
        let index = self.router.pick(self.now, &request, &mut self.rng).unwrap();
        self.router.started(index, &request);
        index
    }

    fn finish(&mut self, index: UpstreamIndex, outcome: Outcome) {
        let target = self.target;
        self.router
            .finished(self.now, index, target, outcome, &mut self.rng);
    }

    fn fail_next(&mut self, index: UpstreamIndex, times: usize) {
        let request = self.request(&[], &[]);
        for _ in 0..times {
            self.router.started(index, &request);
            self.finish(index, Outcome::Failed);
        }
    }

    /// Picks `count` times and cancels each request at once; returns how often each upstream was
    /// chosen.
    fn chosen(&mut self, count: usize) -> BTreeMap<UpstreamIndex, usize> {
        let mut chosen = BTreeMap::new();
        for _ in 0..count {
            let index = self.pick(&[]);
            *chosen.entry(index).or_default() += 1;
            self.finish(index, Outcome::Cancelled);
        }
        chosen
    }

    fn advance(&mut self, secs: u64) {
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
fn can_spread_load_without_reports() {
    let mut f = Fixture::new(&["a"; 8]);
    let mut most = 0;
    for _ in 0..32 {
        let index = f.pick(&[]);
        most = most.max(f.router.upstream(index).unwrap().in_flight());
    }
    assert!(most <= 8, "one of 8 got {most} of 32");
}

#[test]
fn can_prefer_an_upstream_reported_idle() {
    let mut f = Fixture::new(&["a", "a"]);
    f.router.record_report(f.now, W0, &report(7));
    f.router.record_report(f.now, W1, &report(0));
    let chosen = f.chosen(200);
    assert!(chosen[&W1] > 140, "{chosen:?}");
}

#[test]
fn can_discount_a_report_as_it_ages() {
    // All daemons that hold a stale "idle" report would send everything to that upstream. The
    // estimate therefore decays towards the pool's mean as the report ages, so that a stale one
    // attracts no more requests than others.
    let mut f = Fixture::new(&["a"; 4]);
    let polled = |f: &Fixture, running| LoadReport {
        loaded: Some(vec![f.target]),
        ..report(running)
    };
    f.router.record_report(f.now, W0, &polled(&f, 0));
    f.advance(60);
    for _ in 0..200 {
        for (other, running) in [(1, 2), (2, 6), (3, 6)] {
            f.router
                .record_report(f.now, UpstreamIndex(other), &polled(&f, running));
        }
    }
    let chosen = f.chosen(400);
    let stale = chosen.get(&W0).copied().unwrap_or(0);
    assert!(chosen[&W1] > stale, "{chosen:?}");
}

// Without affinity, requests would need a re-prefill each time; without the limit, a popular prefix
// would overload its one home.
#[test]
fn can_keep_cache_affinity_until_the_upstream_is_busy() {
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

// If the daemons disagreed, a session would lose its cache when its next request comes through
// another daemon.
#[test]
fn can_agree_on_home_upstreams_between_daemons() {
    let domains = ["a"; 16];
    let mut first = Fixture::new(&domains);
    let mut second = Fixture::new(&domains);
    let daemon = "another".parse().unwrap();
    second.router = Router::new(&daemon, location("a", "near"), Tuning::default());
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

// Requests must not cross regions without need, nor queue while others are idle.
#[test]
fn can_prefer_near_upstreams_until_they_are_full() {
    let mut f = Fixture::new(&["a", "a", "away", "away"]);
    let chosen: Vec<_> = (0..24).map(|_| f.pick(&[])).collect();
    assert!(chosen[..12].iter().all(|index| index.0 < 2), "{chosen:?}");
    assert!(chosen.iter().any(|index| index.0 >= 2), "{chosen:?}");
}

#[test]
fn can_give_nothing_to_a_leaving_upstream() {
    // The host list lags, so the first sign of an upstream's shutdown is often that it refuses work
    // or closes connections. A request sent after any sign of leaving could be cut off.
    use LeavingSign::*;
    for sign in [HostList, Refusal, ClosedConnection] {
        let mut f = Fixture::new(&["a"; 3]);
        f.router.record_leaving(f.now, W0, sign);
        assert!(!f.chosen(100).contains_key(&W0), "{sign:?}");
    }
}

// The host list lags: it may still show an upstream as live after the upstream itself refused work.
#[test]
fn can_keep_own_signs_of_leaving_against_a_lagging_list() {
    let mut f = Fixture::new(&["a"; 3]);
    f.router.record_leaving(f.now, W0, LeavingSign::Refusal);
    f.router.record_listed_live(W0);
    assert!(!f.chosen(100).contains_key(&W0));
    f.advance(31);
    assert!(f.chosen(100).contains_key(&W0));
}

// Right after its ejection an upstream may still be failing, so it must not get its full load yet.
#[test]
fn can_eject_a_failing_upstream_and_readmit_it_gradually() {
    let mut f = Fixture::new(&["a"; 4]);
    f.fail_next(W0, 3);
    assert!(!f.chosen(200).contains_key(&W0));
    f.advance(7);
    let early = f.chosen(400).get(&W0).copied().unwrap_or(0);
    f.advance(20);
    let late = f.chosen(400)[&W0];
    assert!(early < 30 && late > 60, "early {early}, late {late}");
}

#[test]
fn can_eject_again_after_one_failure_on_return() {
    // If the earlier ejection were forgotten, a broken upstream would fail three callers each time
    // its ejection ends.
    let mut f = Fixture::new(&["a"; 4]);
    f.fail_next(W0, 3);
    f.advance(7);
    f.chosen(1);
    f.fail_next(W0, 1);
    assert!(f.router.upstream(W0).unwrap().health().is_ejected());
}

#[test]
fn can_eject_at_most_half_of_a_pool() {
    // When the daemon's own network fails for a moment, all upstreams look broken at once. If all
    // were ejected, the daemon would refuse all requests for seconds after its network is back.
    let mut f = Fixture::new(&["a"; 6]);
    for number in 0..6 {
        f.fail_next(UpstreamIndex(number), 5);
    }
    assert_eq!(f.router.eligible_count(f.target), 3);
    f.pick(&[]);
}

// An upstream that answers without errors, but far slower than its pool, is ejected too.
#[test]
fn can_eject_a_slow_upstream() {
    let mut f = Fixture::new(&["a"; 5]);
    for round in 0..10 {
        for number in 0..5 {
            let index = UpstreamIndex(number);
            let request = f.request(&[], &[]);
            f.router.started(index, &request);
            f.finish(index, answered(if number == 0 { 100 } else { 20 + round }));
        }
    }
    assert!(f.router.upstream(W0).unwrap().health().is_ejected());
    assert_eq!(f.router.eligible_count(f.target), 4);
}

// With an unbounded weight of former answers, an upstream that served long and well would have to
// be slow for most of a minute before it is ejected.
#[test]
fn can_eject_an_upstream_that_turns_slow_after_long_healthy_traffic() {
    let mut f = Fixture::new(&["a", "a", "a", "a"]);
    let slow = W0;
    let request = f.request(&[], &[]);
    for _ in 0..500 {
        f.router.started(slow, &request);
        f.finish(slow, answered(10));
        f.now = f.now + Span::from_millis(100);
    }
    assert!(!f.router.upstream(slow).unwrap().health().is_ejected());
    for _ in 0..10 {
        f.router.started(slow, &request);
        f.finish(slow, answered(50));
        f.now = f.now + Span::from_millis(100);
        if f.router.upstream(slow).unwrap().health().is_ejected() {
            return;
        }
    }
    panic!("not ejected after ten slow answers");
}

// If the minimum number of answers decayed with time, an upstream that is used rarely would never
// have enough of them.
#[test]
fn can_eject_a_slow_upstream_that_is_used_rarely() {
    let mut f = Fixture::new(&["a", "a", "a", "a"]);
    let slow = W0;
    let usual = UpstreamIndex(1);
    let request = f.request(&[], &[]);
    for _ in 0..10 {
        for _ in 0..50 {
            f.router.started(usual, &request);
            f.finish(usual, answered(10));
        }
        f.router.started(slow, &request);
        f.finish(slow, answered(50));
        f.advance(30);
        if f.router.upstream(slow).unwrap().health().is_ejected() {
            return;
        }
    }
    panic!("not ejected after ten slow answers");
}

// If answers decayed with time, a single late one would eject an upstream that is used rarely.
#[test]
fn can_keep_a_rarely_used_upstream_after_one_late_answer() {
    let mut f = Fixture::new(&["a", "a", "a", "a"]);
    let request = f.request(&[], &[]);
    for millis in [10, 10, 10, 10, 10, 10, 100] {
        f.router.started(W0, &request);
        f.finish(W0, answered(millis));
        f.advance(120);
    }
    assert!(!f.router.upstream(W0).unwrap().health().is_ejected());
}

#[test]
fn can_avoid_an_unreachable_failure_domain() {
    // After four upstreams of a failure domain were unreachable, the rest are avoided without an
    // attempt. Otherwise each of them would fail several callers before its own ejection.
    let mut f = Fixture::new(&["b", "b", "b", "b", "b", "b", "c", "c", "c", "c", "c", "c"]);
    for number in 0..4 {
        let index = UpstreamIndex(number);
        let request = f.request(&[], &[]);
        f.router.started(index, &request);
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
    // When a failure domain has just become unreachable and the first attempt there fails, retries
    // at one upstream after another of the same domain would fail too, and the request would be
    // lost.
    let domains = ["b", "b", "b", "b", "b", "b", "c", "c"];
    let mut f = Fixture::new(&domains);
    let tried = [W0];
    for _ in 0..50 {
        let request = f.request(&[], &tried);
        let index = f.router.pick(f.now, &request, &mut f.rng).unwrap();
        assert_eq!(domains[index.0 as usize], "c");
    }
}

// An upstream that unloaded the target would refuse every request. The report that makes it
// eligible again is malformed: it lists one target twice, and an unknown one.
#[test]
fn can_stop_using_an_upstream_that_lacks_the_target() {
    let mut f = Fixture::new(&["a"; 2]);
    let request = f.request(&[], &[]);
    f.router.started(W0, &request);
    f.finish(W0, Outcome::NotLoaded);
    assert!(!f.chosen(50).contains_key(&W0));
    let mut full = report(0);
    full.loaded = Some(vec![f.target, f.target, TargetIndex(99)]);
    f.router.record_report(f.now, W0, &full);
    assert!(f.chosen(50).contains_key(&W0));
}

// A request must not be retried at an upstream at which it failed.
#[test]
fn errors_when_all_were_tried() {
    let mut f = Fixture::new(&["a"; 2]);
    let tried = [W0, W1];
    let request = f.request(&[], &tried);
    let none = f.router.pick(f.now, &request, &mut f.rng);
    assert_eq!(none, Err(PickError::NoneLive));
}

#[test]
fn can_route_interactive_work_where_own_batch_work_is_preemptible() {
    // Batch work fills every slot, so an interactive request would wait until a request ends. It
    // does not wait at an upstream where this daemon can cancel a batch request of its own.
    let mut f = Fixture::new(&["a"; 8]);
    for number in 0..8 {
        f.router
            .record_report(f.now, UpstreamIndex(number), &report(SLOTS));
    }
    f.router.preemptible_started(W1);
    let mut chosen = 0;
    for _ in 0..20 {
        let request = f.request(&[], &[]);
        let index = f.router.pick(f.now, &request, &mut f.rng).unwrap();
        chosen += usize::from(index == W1);
    }
    assert_eq!(chosen, 20);
    assert!(f.router.should_preempt_batch(f.now, W1));
    assert!(!f.router.should_preempt_batch(f.now, W0));
    f.router.preemptible_ended(W1);
    assert!(!f.router.should_preempt_batch(f.now, W1));
}

#[test]
fn can_keep_the_index_of_a_removed_upstream_until_its_work_ends() {
    // An operator removes an upstream while a request runs on it. If a new upstream got its index
    // at once, the end of the old request would be counted at the new upstream.
    let mut f = Fixture::new(&["a"]);
    let index = f.pick(&[]);
    f.router.configure(vec![spec(7, "a", f.target)]);
    let new = f.pick(&[]);
    assert_ne!(new, index);
    f.finish(index, answered(10));
    assert_eq!(f.router.upstream(new).unwrap().in_flight(), 1);
    assert!(f.router.upstream(index).is_none());
}

// Polling every upstream often would make the poll load grow with the fleet.
#[test]
fn can_poll_the_subset_often_and_the_rest_in_rotation() {
    let mut f = Fixture::new(&["a"; 100]);
    let interval = Span::from_secs(1);
    let mut asked = BTreeMap::<UpstreamIndex, usize>::new();
    for _ in 0..100 {
        f.advance(1);
        for index in f.router.due_polls(f.now, interval, 200) {
            *asked.entry(index).or_default() += 1;
        }
    }
    let often = asked.values().filter(|count| **count == 100).count();
    let seldom = asked.values().filter(|count| **count == 10).count();
    assert_eq!((often, seldom), (32, 68));
}

// One of two upstreams is ejected after failures, then the other begins to leave. If the ejection
// were treated as a certainty, callers would be refused while the first upstream is idle.
#[test]
fn can_use_an_ejected_upstream_when_the_others_left() {
    let mut fixture = Fixture::new(&["a", "a"]);
    let (first, second) = (UpstreamIndex(0), UpstreamIndex(1));
    fixture.fail_next(first, 10);
    let ejected = fixture.router.upstream(first).unwrap();
    assert!(ejected.health().is_ejected());
    fixture
        .router
        .record_leaving(fixture.now, second, LeavingSign::Refusal);
    assert_eq!(fixture.pick(&[]), first);
}
