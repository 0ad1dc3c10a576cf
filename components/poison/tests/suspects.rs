//! Attribution of crashes to contents, and their quarantine.

use std::sync::Arc;

use poison::{
    Admission, Change, Content, ContentEvent, ContentUpdate, ContentUpdates, CrashedAttempt,
    PoisonPolicy, Suspects, UpstreamInstance,
};
use types::prelude::*;

fn content(name: &str) -> Content {
    Content::of("alice", "host", "POST", "/a", name.as_bytes())
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(100_000 + ms)
}

fn upstream(n: u32) -> UpstreamInstance {
    UpstreamInstance {
        id: UpstreamId::new(&format!("u{n}")).expect("a name"),
        started_at: None,
    }
}

fn suspects(name: &str) -> Suspects {
    let mut suspects = Suspects::new(PoisonPolicy::default(), name);
    suspects.set_fleet(6, 12);
    suspects
}

fn crashed_under(name: &str, ran_ms: u64) -> CrashedAttempt {
    CrashedAttempt {
        contents: content(name).into(),
        customer: None,
        had_started: true,
        ran: Span::from_millis(ran_ms),
    }
}

fn is_quarantined(suspects: &Suspects, now: Time, name: &str) -> bool {
    let admission = suspects.admission(now, content(name));
    matches!(admission, Admission::Quarantined { .. })
}

/// Crashes three upstreams under a content within a second, which quarantines it.
fn quarantine(suspects: &mut Suspects, name: &str) {
    for n in 0..3 {
        let now = at(u64::from(n) * 300);
        suspects.upstream_crashed(now, &upstream(n), &[crashed_under(name, 90)]);
    }
}

#[test]
fn third_crash_quarantines_a_content() {
    let mut suspects = suspects("d1");
    for n in 0..3 {
        assert!(
            !is_quarantined(&suspects, at(0), "poison"),
            "after {n} crashes"
        );
        suspects.upstream_crashed(at(0), &upstream(n), &[crashed_under("poison", 90)]);
    }
    assert!(is_quarantined(&suspects, at(0), "poison"));
    assert!(!is_quarantined(&suspects, at(0), "other"));
    let changes = suspects.take_changes();
    assert!(matches!(&changes[..], [Change::Quarantined(barred)] if barred.crashes.len() == 3));
}

#[test]
fn one_crash_each_at_three_daemons_counts_as_three() {
    let mut daemons = [suspects("d1"), suspects("d2"), suspects("d3")];
    let mut updates = Vec::new();
    for (n, daemon) in (0..).zip(&mut daemons) {
        daemon.upstream_crashed(at(0), &upstream(n), &[crashed_under("poison", 90)]);
        updates.push(daemon.take_updates(at(10)));
    }
    for daemon in &mut daemons {
        // In reverse order, and each update twice.
        for updates in updates.iter().rev().chain(&updates) {
            daemon.merge_updates(at(20), updates.clone());
        }
        assert!(is_quarantined(daemon, at(30), "poison"));
    }
}

#[test]
fn one_crash_reported_by_two_daemons_counts_once() {
    // An engine crashes under a request that both daemons had sent there.
    let mut daemons = [suspects("d1"), suspects("d2")];
    for n in 0..2 {
        for daemon in &mut daemons {
            daemon.upstream_crashed(at(0), &upstream(n), &[crashed_under("poison", 90)]);
        }
    }
    let [first, second] = &mut daemons;
    first.merge_updates(at(20), second.take_updates(at(10)));
    assert!(!is_quarantined(first, at(30), "poison"));
}

#[test]
fn updates_are_forwarded_once_by_each_daemon() {
    let mut first = suspects("d1");
    quarantine(&mut first, "poison");
    let mut second = suspects("d2");
    second.merge_updates(at(700), first.take_updates(at(700)));
    let mut third = suspects("d3");
    third.merge_updates(at(800), second.take_updates(at(800)));
    assert!(is_quarantined(&third, at(800), "poison"));
    // Every daemon knows it now, so no update is forwarded again.
    assert!(
        third
            .merge_updates(at(900), second.take_updates(at(900)))
            .is_empty()
    );
    first.merge_updates(at(900), third.take_updates(at(900)));
    assert!(first.take_updates(at(900)).0.is_empty());
}

#[test]
fn long_run_hit_by_three_crashes_is_not_quarantined() {
    // A dozen engines crash in a minute by themselves, and three of them cut off one long answer.
    let mut suspects = suspects("d1");
    for n in 0..9 {
        suspects.upstream_crashed(at(n * 6_000), &upstream(100 + n as u32), &[]);
    }
    for n in 0..3 {
        let now = at(54_000 + n * 3_000);
        suspects.upstream_crashed(now, &upstream(n as u32), &[crashed_under("long", 2_500)]);
    }
    assert!(!is_quarantined(&suspects, at(61_000), "long"));
}

#[test]
fn request_next_to_the_culprit_is_cleared() {
    // A request is retried next to the culprit's own retry and hit with it three times. Crashes
    // under the culprit alone then show that the culprit explains all of them.
    let mut suspects = suspects("d1");
    for n in 0..3 {
        let both = [crashed_under("poison", 90), crashed_under("beside", 60)];
        suspects.upstream_crashed(at(u64::from(n) * 300), &upstream(n), &both);
    }
    suspects.upstream_crashed(at(900), &upstream(3), &[crashed_under("poison", 90)]);
    suspects.upstream_crashed(at(1_200), &upstream(4), &[crashed_under("poison", 90)]);
    assert!(is_quarantined(&suspects, at(1_300), "poison"));
    assert!(!is_quarantined(&suspects, at(1_300), "beside"));
}

#[test]
fn waiting_request_is_not_blamed_for_a_crash() {
    // A content was once seen being processed; elsewhere it only waited while other contents
    // crashed the engine.
    let mut suspects = suspects("d1");
    suspects.upstream_crashed(at(0), &upstream(0), &[crashed_under("waits", 90)]);
    for n in 1..4 {
        let waiting = CrashedAttempt {
            had_started: false,
            ..crashed_under("waits", 200)
        };
        suspects.upstream_crashed(at(u64::from(n) * 100), &upstream(n), &[waiting]);
    }
    assert!(!is_quarantined(&suspects, at(500), "waits"));
}

#[test]
fn popular_request_is_not_quarantined_when_a_rack_is_lost() {
    // Many callers send the same request, ten times a second. Three upstreams of a rack are lost at
    // one moment, and each was about to answer it.
    let mut suspects = suspects("d1");
    suspects.answered(at(0), content("popular"));
    for n in 0..3 {
        suspects.upstream_crashed(at(100), &upstream(n), &[crashed_under("popular", 30)]);
    }
    assert!(!is_quarantined(&suspects, at(200), "popular"));
    // Another daemon, which never saw it answered, receives the update.
    let mut other = self::suspects("d2");
    for n in 0..3 {
        other.upstream_crashed(at(100), &upstream(n), &[crashed_under("popular", 30)]);
    }
    suspects.merge_updates(at(200), other.take_updates(at(200)));
    other.merge_updates(at(250), suspects.take_updates(at(250)));
    assert!(!is_quarantined(&other, at(300), "popular"));
}

#[test]
fn one_daemon_at_a_time_sends_the_trial_after_expiry() {
    // The first daemon whose delay is over sends the trial and reports it. The other daemons wait
    // for it.
    let mut daemons = ["d1", "d2", "d3"].map(suspects);
    daemons.iter_mut().for_each(|d| quarantine(d, "poison"));
    assert!(is_quarantined(&daemons[0], at(29_000), "poison"));
    let mut trials = 0;
    for ms in (30_000..36_000).step_by(50) {
        for n in 0..3 {
            if daemons[n].admission(at(ms), content("poison")) == Admission::Trial {
                trials += 1;
                daemons[n].trial_sent(at(ms), content("poison"));
                let updates = daemons[n].take_updates(at(ms));
                daemons
                    .iter_mut()
                    .for_each(|d| drop(d.merge_updates(at(ms), updates.clone())));
            }
        }
    }
    assert_eq!(trials, 1);
}

#[test]
fn crash_in_a_trial_doubles_the_quarantine() {
    let mut suspects = suspects("d1");
    quarantine(&mut suspects, "poison");
    suspects.trial_sent(at(40_000), content("poison"));
    suspects.upstream_crashed(at(40_100), &upstream(9), &[crashed_under("poison", 90)]);
    assert!(is_quarantined(&suspects, at(99_000), "poison"));
    assert!(!is_quarantined(&suspects, at(104_000), "poison"));
}

#[test]
fn answered_trial_clears_the_content_everywhere() {
    let mut daemons = [suspects("d1"), suspects("d2")];
    daemons.iter_mut().for_each(|d| quarantine(d, "poison"));
    let [first, second] = &mut daemons;
    first.take_updates(at(1_000));
    first.answered(at(40_000), content("poison"));
    second.merge_updates(at(40_100), first.take_updates(at(40_100)));
    for daemon in [first, second] {
        assert_eq!(
            daemon.admission(at(40_200), content("poison")),
            Admission::Open
        );
        assert!(
            daemon
                .take_changes()
                .contains(&Change::Cleared(content("poison")))
        );
    }
}

#[test]
fn operator_lifts_a_quarantine_everywhere() {
    let mut daemons = [suspects("d1"), suspects("d2")];
    daemons.iter_mut().for_each(|d| quarantine(d, "poison"));
    let [first, second] = &mut daemons;
    first.take_updates(at(1_000));
    assert!(first.lift_quarantine(at(2_000), content("poison")));
    assert!(!first.lift_quarantine(at(2_000), content("other")));
    second.merge_updates(at(2_100), first.take_updates(at(2_100)));
    assert!(!is_quarantined(second, at(2_200), "poison"));
}

#[test]
fn late_updates_from_before_a_lift_do_not_quarantine_again() {
    // Updates on the crashes take two paths, and on the longer one they arrive after the lift.
    let mut first = suspects("d1");
    quarantine(&mut first, "poison");
    let late = first.take_updates(at(900));
    first.lift_quarantine(at(1_000), content("poison"));
    let lift = first.take_updates(at(1_000));
    let mut second = suspects("d2");
    second.merge_updates(at(1_010), lift);
    second.merge_updates(at(1_020), late.clone());
    first.merge_updates(at(1_020), late);
    for daemon in [&first, &second] {
        assert!(!is_quarantined(daemon, at(1_100), "poison"));
    }
    // Crashes after the lift count again.
    for n in 10..13 {
        second.upstream_crashed(at(5_000), &upstream(n), &[crashed_under("poison", 90)]);
    }
    assert!(is_quarantined(&second, at(5_000), "poison"));
}

#[test]
fn quarantine_from_the_store_holds_at_a_starting_daemon() {
    // The daemon starts where a rack was just lost and finds a quarantine in the store. By its own
    // evidence chance explains the crashes. It must not end the quarantine, nor report crashes that
    // it never saw.
    let mut suspects = suspects("d1");
    for n in 20..26 {
        suspects.upstream_crashed(at(0), &upstream(n), &[]);
    }
    let ends = (0..3).map(|n| (upstream(n), Span::from_millis(900)));
    suspects.restore(at(0), content("poison"), None, ends, &[]);
    assert!(is_quarantined(&suspects, at(100), "poison"));
    assert!(suspects.take_updates(at(100)).0.is_empty());
    suspects.answered(at(200), content("poison"));
    assert!(!is_quarantined(&suspects, at(300), "poison"));
}

#[test]
fn lost_rack_does_not_evict_a_quarantined_content() {
    // Thousands of requests lose their upstream at one moment and become suspects.
    let mut suspects = suspects("d1");
    quarantine(&mut suspects, "poison");
    suspects.take_updates(at(1_000));
    let lost = (0..10_000).map(|n| crashed_under(&n.to_string(), 50));
    suspects.upstream_crashed(at(1_100), &upstream(50), &lost.collect::<Vec<_>>());
    assert!(suspects.len() <= 1_024);
    assert!(is_quarantined(&suspects, at(1_200), "poison"));
    // A content that is quarantined meanwhile is sent before the flood.
    for n in 60..63 {
        suspects.upstream_crashed(at(1_200), &upstream(n), &[crashed_under("next", 50)]);
    }
    let updates = suspects.take_updates(at(1_200));
    assert!(updates.0.len() <= 64);
    let next = updates
        .0
        .iter()
        .filter(|word| word.content == content("next"));
    assert_eq!(next.count(), 3);
}

#[test]
fn truncated_updates_are_rejected() {
    let updates = ContentUpdates(vec![ContentUpdate {
        content: content("poison"),
        event: ContentEvent::Crashed {
            upstream: upstream(1),
            customer: Some(Arc::from("alice")),
            had_started: true,
            ran_ms: 90,
        },
        age_ms: 7,
    }]);
    let bytes = updates.encode().expect("updates");
    assert_eq!(ContentUpdates::decode(&bytes).expect("updates"), updates);
    for end in 0..bytes.len() {
        assert!(ContentUpdates::decode(&bytes[..end]).is_err());
    }
}

#[test]
fn nothing_is_quarantined_when_the_policy_disables_it() {
    let policy = PoisonPolicy {
        bars: false,
        ..PoisonPolicy::default()
    };
    let mut suspects = Suspects::new(policy, "d1");
    quarantine(&mut suspects, "poison");
    assert!(!is_quarantined(&suspects, at(1_000), "poison"));
}

/// An upstream restarts under its id after each crash. Three runs that crashed under one request
/// counted as one crash, so it was not quarantined; or one run that two daemons report counted twice.
#[test]
fn runs_of_one_upstream_crash_separately() {
    let run = |started_at: Option<u64>| UpstreamInstance {
        id: UpstreamId::new("u1").expect("a name"),
        started_at: started_at.map(WallTime),
    };
    let [mut one, mut other] = [suspects("d1"), suspects("d2")];
    for started_at in [Some(7), Some(8)] {
        for daemon in [&mut one, &mut other] {
            daemon.upstream_crashed(at(0), &run(started_at), &[crashed_under("poison", 90)]);
        }
    }
    one.merge_updates(at(20), other.take_updates(at(10)));
    assert!(!is_quarantined(&one, at(30), "poison"), "two runs crashed");
    one.upstream_crashed(at(40), &run(None), &[crashed_under("poison", 90)]);
    assert!(is_quarantined(&one, at(50), "poison"), "three runs crashed");
}
