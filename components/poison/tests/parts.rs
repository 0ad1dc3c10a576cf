//! Tests of parts of prompts at one daemon.

use std::sync::Arc;

use poison::{
    Admission, Content, Contents, CrashedAttempt, PoisonPolicy, Suspects, UpstreamInstance,
};
use types::prelude::*;

/// Ids of parts of prompts.
const CRASHING: u64 = 1;
const BESIDE: u64 = 2;
const OTHER: u64 = 3;

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

fn suspects() -> Suspects {
    let mut suspects = Suspects::new(PoisonPolicy::default(), "daemon");
    suspects.set_fleet(1, 12);
    suspects
}

/// A request that no other one is like, with these shared parts in its prompt.
fn request(number: u64, parts: &[u64]) -> Contents {
    let body = number.to_le_bytes();
    let whole = Content::of("alice", "host", "POST", "/a", &body);
    Contents::new(whole, parts.iter().copied())
}

fn upstream(number: u64) -> UpstreamInstance {
    UpstreamInstance {
        id: UpstreamId::new(&format!("u{number}")).expect("a name"),
        started_at: None,
    }
}

/// An upstream crashes under a request with these parts, a moment after it started.
fn crash(suspects: &mut Suspects, number: u64, parts: &[u64], customer: &str) {
    let crashed = CrashedAttempt {
        contents: request(number, parts),
        customer: Some(Arc::from(customer)),
        had_started: true,
        ran: Span::from_millis(80),
    };
    suspects.upstream_crashed(at(number * 100), &upstream(number), &[crashed]);
}

fn is_refused(suspects: &Suspects, now: Time, parts: &[u64], customer: &str) -> bool {
    let admission = suspects.admission_of(now, &request(1_000, parts), Some(customer));
    matches!(admission, Admission::Quarantined { .. })
}

#[test]
fn an_answer_clears_all_parts_of_its_request() {
    let mut suspects = suspects();
    for number in 0..2 {
        crash(&mut suspects, number, &[CRASHING, BESIDE], "alice");
    }
    suspects.answered(at(150), request(50, &[BESIDE]));
    crash(&mut suspects, 2, &[CRASHING, BESIDE], "alice");
    assert!(is_refused(&suspects, at(300), &[CRASHING], "alice"));
    assert!(!is_refused(&suspects, at(300), &[BESIDE], "alice"));
}

#[test]
fn a_part_is_refused_to_one_customer_until_another_crashes_an_upstream() {
    let mut suspects = suspects();
    for number in 0..3 {
        crash(&mut suspects, number, &[CRASHING], "alice");
    }
    assert!(is_refused(&suspects, at(300), &[CRASHING], "alice"));
    assert!(!is_refused(&suspects, at(300), &[CRASHING], "bob"));
    crash(&mut suspects, 3, &[CRASHING], "bob");
    assert!(is_refused(&suspects, at(400), &[CRASHING], "carol"));
}

#[test]
fn parts_with_the_same_crashes_are_refused_only_together() {
    let mut suspects = suspects();
    for number in 0..3 {
        crash(&mut suspects, number, &[CRASHING, BESIDE], "alice");
    }
    assert!(is_refused(&suspects, at(300), &[CRASHING, BESIDE], "alice"));
    assert!(!is_refused(&suspects, at(300), &[CRASHING], "alice"));
    assert!(!is_refused(&suspects, at(300), &[BESIDE], "alice"));
    crash(&mut suspects, 3, &[CRASHING, OTHER], "alice");
    assert!(is_refused(&suspects, at(400), &[CRASHING], "alice"));
    assert!(!is_refused(&suspects, at(400), &[BESIDE], "alice"));
}

#[test]
fn a_quarantine_from_the_store_keeps_its_companions() {
    let mut known = suspects();
    for number in 0..3 {
        crash(&mut known, number, &[CRASHING, BESIDE], "alice");
    }
    let quarantined = known.quarantined();
    let [entry] = quarantined.as_slice() else {
        panic!("{quarantined:?}");
    };
    let mut restarted = suspects();
    let crashes = entry.crashes.iter().cloned();
    let customer = entry.customer.as_ref();
    restarted.restore(at(0), entry.content, customer, crashes, &entry.companions);
    assert!(is_refused(&restarted, at(10), &[CRASHING, BESIDE], "alice"));
    assert!(!is_refused(&restarted, at(10), &[CRASHING], "alice"));
    assert!(!is_refused(&restarted, at(10), &[CRASHING, BESIDE], "bob"));
}

// A daemon with less evidence wrote a sound part to the store.
#[test]
fn a_part_that_was_just_answered_is_not_adopted_from_the_store() {
    let mut suspects = suspects();
    suspects.answered(at(0), request(1, &[BESIDE]));
    let crashes = (0..3).map(|number| (upstream(number), Span::from_millis(80)));
    suspects.restore(at(100), Content::of_part(BESIDE), None, crashes, &[]);
    assert!(!is_refused(&suspects, at(200), &[BESIDE], "alice"));
    assert!(suspects.quarantined().is_empty());
}

#[test]
fn a_part_is_not_tried_for_an_hour_after_five_crashes() {
    let mut suspects = suspects();
    for number in 0..4 {
        crash(&mut suspects, number, &[CRASHING], "alice");
    }
    assert!(!is_refused(&suspects, at(120_000), &[CRASHING], "alice"));
    crash(&mut suspects, 4, &[CRASHING], "alice");
    assert!(is_refused(&suspects, at(3_500_000), &[CRASHING], "alice"));
}

#[test]
fn requests_with_a_suspected_part_are_sent_one_at_a_time() {
    let mut suspects = suspects();
    crash(&mut suspects, 0, &[CRASHING], "alice");
    let next = request(10, &[CRASHING]);
    let held_until = |suspects: &Suspects, now| suspects.held_until(now, &next, Some("alice"));
    assert_eq!(held_until(&suspects, at(100)), Some(at(300)));
    assert_eq!(held_until(&suspects, at(300)), None);
    suspects.probe_sent(at(300), &next, Some("alice"));
    assert_eq!(held_until(&suspects, at(400)), Some(at(1_300)));
    suspects.answered(at(900), request(10, &[CRASHING]));
    assert_eq!(held_until(&suspects, at(910)), None);
}

#[test]
fn a_waiting_request_is_taken_back_after_a_crash_under_its_part() {
    let mut suspects = suspects();
    crash(&mut suspects, 1, &[CRASHING], "alice");
    let should_withdraw = |contents: &Contents, now, sent_at| {
        suspects.should_withdraw(now, contents, Some("alice"), sent_at)
    };
    let waiting = request(10, &[CRASHING]);
    assert!(should_withdraw(&waiting, at(250), at(50)));
    assert!(!should_withdraw(&waiting, at(120), at(50)));
    assert!(!should_withdraw(&waiting, at(500), at(400)));
    assert!(!should_withdraw(&request(11, &[OTHER]), at(250), at(50)));
}

// Daemons that hear of the first probe only send all that they hold back at the second.
#[test]
fn each_probe_is_told_to_other_daemons() {
    let mut suspects = suspects();
    crash(&mut suspects, 0, &[CRASHING], "alice");
    suspects.take_updates(at(10));
    for sent_at in [at(400), at(1_500)] {
        suspects.probe_sent(sent_at, &request(10, &[CRASHING]), Some("alice"));
        assert_eq!(suspects.take_updates(sent_at).0.len(), 1);
    }
}
