//! What daemons learn from each other's heartbeats.

use fleet::{Freshness, Heartbeat, PeerStates, StoreReport};
use mirror::Revision;
use types::prelude::*;

const REPORT_TTL: Span = Span::from_millis(1_400);

fn daemon(n: usize) -> DaemonId {
    DaemonId::new(&format!("d{n}")).expect("a name")
}

fn holding(held: u64) -> Heartbeat {
    Heartbeat {
        held: Revision(held),
        watchers: Vec::new(),
        store_unreachable: Vec::new(),
        rollouts: Vec::new(),
        loads: Vec::new(),
        rate_limits: Vec::new(),
        sent_at: None,
        freshness: None,
        tunnel_port: None,
        brittle: Vec::new(),
        overload: Vec::new(),
        paces: Vec::new(),
        averages: Vec::new(),
    }
}

fn sources(states: &PeerStates, held: u64) -> Vec<DaemonId> {
    let mut ahead = states.ahead_of(Revision(held)).cloned().collect::<Vec<_>>();
    ahead.sort();
    ahead
}

#[test]
fn a_daemon_without_a_copy_asks_any_peer_with_one() {
    // In a restarted fleet, daemons copied only from those with the last change. When a key
    // changed, just the watcher had that change for a moment: all others requested their copy from
    // it, it served two at a time, and callers were refused for a second longer.
    let mut states = PeerStates::default();
    for (n, held) in [7, 7, 8, 0].into_iter().enumerate() {
        states.take(Time::ZERO, &daemon(n), &holding(held), REPORT_TTL);
    }
    assert_eq!(sources(&states, 0), [daemon(0), daemon(1), daemon(2)]);
    // A daemon that has a copy asks for all new changes at once.
    assert_eq!(sources(&states, 6), [daemon(2)]);
    assert!(sources(&states, 8).is_empty());
}

/// A daemon's report on itself, made when its own clock showed `clock_ms`.
fn report(n: usize, clock_ms: u64) -> StoreReport {
    StoreReport {
        daemon: daemon(n),
        age_ms: 0,
        run: Incarnation(1),
        clock_ms,
        held: Revision(7),
        validated_ms: Some(0),
    }
}

/// The same report, sent by a relay that received it `age_ms` ago.
fn relayed(report: &StoreReport, age_ms: u16) -> StoreReport {
    StoreReport {
        age_ms,
        ..report.clone()
    }
}

fn with_watchers(watchers: Vec<StoreReport>) -> Heartbeat {
    Heartbeat {
        watchers,
        ..holding(7)
    }
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

#[test]
fn a_watcher_without_store_answers_no_longer_counts() {
    // The watchers lost their connections to the store, but not those to their peers, just as a key
    // was revoked. Their peers trusted the watchers' last success until it expired, and accepted
    // the revoked key for more than the two seconds within which a change must be in force.
    let now = at(10_000);
    let mut states = PeerStates::default();
    let works = with_watchers(vec![relayed(&report(4, 5_000), 100)]);
    let fails = Heartbeat {
        store_unreachable: vec![report(4, 5_100)],
        ..holding(7)
    };
    states.take(now, &daemon(0), &works, REPORT_TTL);
    assert!(states.has_watcher());
    states.take(now, &daemon(2), &fails, REPORT_TTL);
    assert!(!states.has_watcher());
    // An older success report that arrives late changes nothing.
    states.take(now, &daemon(3), &works, REPORT_TTL);
    assert!(!states.has_watcher());
    // The store answers the watcher again.
    let later = now + Span::from_secs(1);
    let works = with_watchers(vec![relayed(&report(4, 6_000), 100)]);
    states.take(later, &daemon(3), &works, REPORT_TTL);
    assert!(states.has_watcher());
}

#[test]
fn relayed_reports_of_a_dead_watcher_expire() {
    // The last report of a dead watcher circulated while messages were delayed for seconds. Each
    // relay adds the time for which it held the report but not the transit time, so every daemon
    // counted the watcher as working for as long as the report circulated, and nobody watched.
    let mut states = PeerStates::default();
    let last = report(4, 5_000);
    states.take(
        at(10_000),
        &daemon(0),
        &with_watchers(vec![last.clone()]),
        REPORT_TTL,
    );
    for ms in [11_000, 12_000, 13_000] {
        let again = with_watchers(vec![relayed(&last, 100)]);
        states.take(at(ms), &daemon(1), &again, REPORT_TTL);
        states.expire(at(ms), REPORT_TTL);
    }
    assert!(!states.has_watcher());
}

#[test]
fn a_delayed_report_keeps_its_age() {
    // After a partition heals, the messages held up by it arrive at once, among them a report made
    // 8 s ago that this daemon had not received. It says nothing about the present.
    let mut states = PeerStates::default();
    let before = with_watchers(vec![report(4, 5_000)]);
    states.take(at(10_000), &daemon(0), &before, REPORT_TTL);
    let answer_delay = with_watchers(vec![report(4, 5_400)]);
    states.take(at(18_400), &daemon(0), &answer_delay, REPORT_TTL);
    states.expire(at(18_400), REPORT_TTL);
    assert!(!states.has_watcher());
}

#[test]
fn the_store_is_unreachable_only_if_several_daemons_get_no_answer() {
    // Leases of upstreams expire in an outage. A daemon that does not watch must know of the outage
    // to keep them. If it took the loss or partition of both watchers for an outage, it would send
    // to upstreams that left.
    let now = Time::ZERO + Span::from_secs(10);
    let mut states = PeerStates::default();
    let mut hear = |n, heartbeat: &Heartbeat| {
        states.take(now, &daemon(n), heartbeat, REPORT_TTL);
        (
            states.is_store_unreachable(295),
            states.is_store_unreachable(2),
        )
    };
    assert_eq!(hear(0, &holding(7)), (false, false), "nobody says anything");
    let two = Heartbeat {
        store_unreachable: vec![relayed(&report(1, 5_000), 300), report(2, 5_000)],
        ..holding(7)
    };
    let (is_unreachable, is_unreachable_for_two) = hear(1, &two);
    assert!(!is_unreachable, "two may be cut off");
    assert!(is_unreachable_for_two, "there is nobody else");
    let third = Heartbeat {
        store_unreachable: vec![report(3, 5_000)],
        ..holding(7)
    };
    assert!(hear(3, &third).0);
    let works = Heartbeat {
        watchers: vec![relayed(&report(4, 5_000), 100)],
        ..holding(7)
    };
    assert!(!hear(5, &works).0, "it serves somebody");
    states.expire(now + Span::from_millis(1_350), REPORT_TTL);
    assert!(!states.is_store_unreachable(295), "one word is too old");
}

#[test]
fn a_watcher_reported_in_late_messages_still_counts() {
    // Busy hosts that read messages late must not consider the store unreachable while it answers
    // the watchers.
    let mut states = PeerStates::default();
    for ms in (20_000..22_000).step_by(200) {
        states.take(at(ms), &daemon(5), &with_watchers(vec![]), REPORT_TTL);
    }
    let late = with_watchers(vec![relayed(&report(4, 5_000), 100)]);
    states.take(at(22_000), &daemon(5), &late, REPORT_TTL);
    states.expire(at(22_400), REPORT_TTL);
    assert!(states.has_watcher());
}

/// A daemon of the release before would have taken the port for a freshness claim.
#[test]
fn the_port_for_tunnels_follows_the_fields_of_earlier_releases() {
    let claims = Freshness::default();
    let before = holding(4).encode().expect("fits");
    let before = Heartbeat::encode_for(&before, &claims).expect("fits");
    let now = Heartbeat::encode_with_tunnels(before.clone(), 7_341).expect("fits");
    assert!(now.starts_with(&before));
    let decoded = Heartbeat::decode(&now).expect("its form");
    assert_eq!(decoded.freshness, Some(claims));
    assert_eq!(decoded.tunnel_port, Some(7_341));
    let decoded = Heartbeat::decode(&before).expect("its form");
    assert_eq!(decoded.tunnel_port, None);
}

/// A daemon of the release before would have taken brittle services for the port.
#[test]
fn brittle_services_follow_the_fields_of_earlier_releases() {
    let before = Heartbeat::encode_for(&holding(4).encode().expect("fits"), &Freshness::default());
    let before = Heartbeat::encode_with_tunnels(before.expect("fits"), 7_341).expect("fits");
    let brittle = dispatch::BrittleAdvertisement {
        service: 7,
        max_rejections: 4.0,
        age_ms: 20,
    };
    let now = Heartbeat::encode_with_brittle(before.clone(), &[brittle]).expect("fits");
    assert!(now.starts_with(&before));
    let decoded = Heartbeat::decode(&now).expect("its form");
    assert_eq!(decoded.tunnel_port, Some(7_341));
    assert_eq!(decoded.brittle, [brittle]);
    assert!(
        Heartbeat::decode(&before)
            .expect("its form")
            .brittle
            .is_empty()
    );
}

/// A daemon of the release before would have taken paces for another field, and a fleet in front of
/// even engines would pay for bytes that hold nothing.
#[test]
fn paces_follow_the_fields_of_earlier_releases_and_only_where_there_are_any() {
    let before = Heartbeat::encode_for(&holding(4).encode().expect("fits"), &Freshness::default());
    let before = Heartbeat::encode_with_tunnels(before.expect("fits"), 7_341).expect("fits");
    let before = Heartbeat::encode_with_brittle(before, &[]).expect("fits");
    let before = Heartbeat::encode_with_overload(before, &[]).expect("fits");
    let before = Heartbeat::encode_with_averages(before, &[]).expect("fits");
    let none = Heartbeat::encode_with_paces(before.clone(), &[]).expect("fits");
    assert_eq!(none, before);
    let decoded = Heartbeat::decode(&none).expect("its form");
    assert!(decoded.paces.is_empty());
    let report = |key| {
        let key = dispatch::UpstreamKey(u32::MAX - key);
        dispatch::PaceReport::new(key, dispatch::Pace::MAX, 31.0)
    };
    let paces = (0..16).map(report).collect::<Vec<_>>();
    let now = Heartbeat::encode_with_paces(before.clone(), &paces).expect("fits");
    assert!(now.starts_with(&before));
    assert!(now.len() - before.len() <= 256);
    let decoded = Heartbeat::decode(&now).expect("its form");
    assert_eq!(decoded.tunnel_port, Some(7_341));
    assert_eq!(decoded.paces, paces);
    // What is cut off or of another form is left out.
    let cut = Heartbeat::decode(&now[..now.len() - 1]).expect("its form");
    assert!(cut.paces.is_empty());
}
