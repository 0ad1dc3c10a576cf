//! Claims under lost replies, delayed writes, concurrent daemons and a store that is down.

use keyvalue::{CallError, LeaseId, Outcome, Request};
use requests::claim::*;
use types::prelude::*;

use support::Store;

#[path = "support/store.rs"]
mod support;

const NOW: Time = Time(1_000);

fn store() -> Store {
    let mut store = Store::default();
    let ttl = Span::from_secs(700);
    let _ = store.call(&Request::LeaseGrant { ttl });
    store
}

fn reply_lost() -> Outcome {
    Err(CallError::Unknown("no reply".to_owned()))
}

fn not_sent() -> Outcome {
    Err(CallError::NotSent("no connection".to_owned()))
}

fn spec(daemon: &str, counter: u64) -> ClaimSpec {
    let nonce = Nonce {
        daemon: daemon.parse().unwrap(),
        incarnation: Incarnation(1),
        counter,
    };
    let lease = ClaimLease {
        id: LeaseId(1),
        use_until: NOW + Span::from_secs(60),
    };
    ClaimSpec {
        key: "claims/kochi/r1".to_owned(),
        nonce,
        fingerprint: 9,
        lease,
        deadline: NOW + Span::from_secs(5),
    }
}

/// Makes the calls of a claim at the store until it ends.
fn run_calls(store: &mut Store, claim: &mut Claim, mut call: Request) -> ClaimStep {
    loop {
        match claim.on_outcome(store.call(&call), NOW) {
            ClaimStep::Call(next) => call = next,
            step => return step,
        }
    }
}

fn claim(store: &mut Store, spec: ClaimSpec) -> ClaimStep {
    let (mut claim, call) = Claim::start(spec);
    run_calls(store, &mut claim, call)
}

fn expect_held(step: ClaimStep) -> HeldClaim {
    match step {
        ClaimStep::Acquired(held) => held,
        other => panic!("claim not acquired: {other:?}"),
    }
}

fn settle(store: &mut Store, start: (Settlement, Request)) -> SettleStep {
    let (mut settle, mut call) = start;
    loop {
        match settle.on_outcome(store.call(&call)) {
            SettleStep::Call(next) => call = next,
            step => return step,
        }
    }
}

fn recorded() -> RecordedAnswer {
    RecordedAnswer::new(200, vec![("a".to_owned(), "b".to_owned())], "yes\n".into())
}

#[test]
fn can_give_a_repeat_the_recorded_answer() {
    let mut store = store();
    let mine = expect_held(claim(&mut store, spec("d1", 1)));
    let open = claim(&mut store, spec("d2", 1));
    assert!(matches!(open, ClaimStep::Duplicate(ExistingClaim::Open)));
    let step = settle(&mut store, Settlement::record(mine, recorded()));
    assert!(matches!(step, SettleStep::Done));
    let ClaimStep::Duplicate(ExistingClaim::Recorded(again)) = claim(&mut store, spec("d2", 2))
    else {
        panic!("no recorded answer");
    };
    assert_eq!(again, recorded());
    let mut other = spec("d2", 3);
    other.fingerprint = 10;
    let reused = claim(&mut store, other);
    assert!(matches!(
        reused,
        ClaimStep::Duplicate(ExistingClaim::KeyReused)
    ));
}

// The claim's write takes effect but its reply is lost. Without comparing the nonce, the daemon
// would treat its own claim as another daemon's and refuse a request that never ran.
#[test]
fn can_recognize_its_own_write_after_a_lost_reply() {
    let mut store = store();
    let (mut claim, call) = Claim::start(spec("d1", 1));
    let _ = store.call(&call);
    let ClaimStep::Call(read) = claim.on_outcome(reply_lost(), NOW) else {
        panic!("not read back");
    };
    let mine = expect_held(run_calls(&mut store, &mut claim, read));
    let step = settle(&mut store, Settlement::record(mine, recorded()));
    assert!(matches!(step, SettleStep::Done));
}

// The first daemon's write is delayed, its read-back finds no key, and another daemon claims and
// runs the request before the write takes effect. The request would run twice if the first daemon
// treated an empty read-back as success, or if its write were not conditional.
#[test]
fn errors_of_delayed_claims_do_not_run_twice() {
    let mut store = store();
    let (mut slow, delayed) = Claim::start(spec("d1", 1));
    let ClaimStep::Call(read) = slow.on_outcome(reply_lost(), NOW) else {
        panic!("not read back");
    };
    let ClaimStep::Call(write) = slow.on_outcome(store.call(&read), NOW) else {
        panic!("an absent key was not written again");
    };
    expect_held(claim(&mut store, spec("d2", 1)));
    let _ = store.call(&delayed);
    let step = run_calls(&mut store, &mut slow, write);
    assert!(matches!(step, ClaimStep::Duplicate(ExistingClaim::Open)));
}

// A caller gets "not run", but the claim's delayed write takes effect after the refusal because the
// release deleted the key, or found none, and left it absent. Its retries would get "outcome
// unknown" for the whole retry window, until the next day.
#[test]
fn errors_of_abandoned_claims_leave_no_phantom() {
    for taken_over in [false, true] {
        let mut store = store();
        if taken_over {
            let mine = expect_held(claim(&mut store, spec("d0", 1)));
            settle(&mut store, Settlement::release(mine));
        }
        let (mut slow, mut call) = Claim::start(spec("d1", 1));
        if taken_over {
            let ClaimStep::Call(next) = slow.on_outcome(store.call(&call), NOW) else {
                panic!("a released claim was not taken over");
            };
            call = next;
        }
        let delayed = call;
        let mut step = slow.on_outcome(reply_lost(), NOW);
        while let ClaimStep::Call(_) = step {
            step = slow.on_outcome(not_sent(), NOW);
        }
        let ClaimStep::Unavailable(Some(possibly_written)) = step else {
            panic!("given up without a claim to release: {step:?}");
        };
        settle(&mut store, Settlement::release(possibly_written));
        let _ = store.call(&delayed);
        expect_held(claim(&mut store, spec("d2", 1)));
    }
}

#[test]
fn errors_of_a_store_that_is_down_make_no_claim() {
    let (mut claim, _) = Claim::start(spec("d1", 1));
    let mut step = claim.on_outcome(not_sent(), NOW);
    while let ClaimStep::Call(_) = step {
        step = claim.on_outcome(not_sent(), NOW);
    }
    assert!(matches!(step, ClaimStep::Unavailable(None)));
}

// If a daemon that was paused between the lease's grant and the claim used the lease past its slot,
// the claim would expire within the retry window, and a retry would run again.
#[test]
fn errors_of_late_claims_are_not_used() {
    let mut store = store();
    let mut late = spec("d1", 1);
    late.deadline = Time::NEVER;
    let (mut claim, call) = Claim::start(late);
    let step = claim.on_outcome(store.call(&call), NOW + Span::from_secs(61));
    assert!(matches!(step, ClaimStep::Unavailable(Some(_))));
}

#[test]
fn can_keep_one_lease_for_a_slot() {
    let mut store = store();
    let mut slots = LeaseSlots::new(Windows::default());
    let (requested_at, call) = slots.poll(NOW).unwrap();
    assert_eq!(slots.poll(NOW), None);
    slots.on_outcome(requested_at, &store.call(&call));
    let lease = slots.current(NOW).unwrap();
    assert_eq!(slots.poll(NOW + Span::from_secs(2_000)), None);
    let later = NOW + Span::from_secs(3_000);
    let (requested_at, call) = slots.poll(later).unwrap();
    assert_eq!(slots.current(later), Some(lease));
    slots.on_outcome(requested_at, &reply_lost());
    assert_eq!(slots.current(NOW + Span::from_secs(3_700)), None);
    let again = slots.poll(later + Span::from_secs(2)).unwrap();
    assert_eq!(again.1, call);
    slots.forget(lease.id);
    assert_eq!(slots.current(later), None);
}

// A lease was granted before the daemon was paused and expired during the pause; the reply is read
// after the daemon has requested a lease again. If the slot were counted from that later call,
// claims would be refused for a minute.
#[test]
fn errors_of_late_grants_give_no_lease() {
    let mut store = store();
    let mut slots = LeaseSlots::new(Windows::default());
    let (requested_at, call) = slots.poll(NOW).unwrap();
    let granted = store.call(&call);
    let later = NOW + Span::from_secs(25 * 3600);
    assert!(slots.poll(later).is_some());
    slots.on_outcome(requested_at, &granted);
    assert_eq!(slots.current(later), None);
}

#[test]
fn can_claim_again_after_the_lease_expired() {
    let mut store = store();
    expect_held(claim(&mut store, spec("d1", 1)));
    store.advance(Time::ZERO + Span::from_secs(701));
    let refused = claim(&mut store, spec("d2", 1));
    assert!(matches!(refused, ClaimStep::Unavailable(None)));
    let ttl = Span::from_secs(700);
    let mut fresh = spec("d2", 2);
    fresh.lease.id = match store.call(&Request::LeaseGrant { ttl }).unwrap().reply {
        keyvalue::Reply::LeaseGranted(id) => id,
        other => panic!("no lease: {other:?}"),
    };
    expect_held(claim(&mut store, fresh));
}

// Names may contain `/`, and joining them unescaped gives equal keys. Two customers' requests would
// share a claim, and one customer would get the other's answer.
#[test]
fn errors_of_slashes_do_not_join_two_keys() {
    let key = |customer: &str, id: &str| {
        claim_key("claims/", &customer.parse().unwrap(), &id.parse().unwrap())
    };
    assert_ne!(key("a/b", "c"), key("a", "b/c"));
}

#[test]
fn can_pack_claims_in_one_call() {
    let mut store = store();
    let mut batcher = Batcher::new(Span::ZERO);
    let mut claims: Vec<Claim> = Vec::new();
    for n in 0..10 {
        let mut spec = spec("d1", n);
        spec.key = format!("claims/kochi/r{}", n % 9);
        let (claim, call) = Claim::start(spec);
        batcher.push(Ticket(n), call).unwrap();
        claims.push(claim);
    }
    let first = batcher.next_call(NOW).unwrap();
    assert_eq!(batcher.next_call(NOW), None);
    assert_eq!(batcher.waiting(), 1);
    let outcomes = batcher.on_outcome(store.call(&first));
    assert_eq!(outcomes.len(), 9);
    for (ticket, outcome) in outcomes {
        expect_held(claims[ticket.0 as usize].on_outcome(outcome, NOW));
    }
    let second = batcher.next_call(NOW).unwrap();
    let (ticket, outcome) = batcher.on_outcome(store.call(&second)).remove(0);
    let step = claims[ticket.0 as usize].on_outcome(outcome, NOW);
    assert!(matches!(step, ClaimStep::Duplicate(ExistingClaim::Open)));
}

#[test]
fn can_bound_calls_per_second() {
    let mut batcher = Batcher::new(Span::from_millis(50));
    let mut calls = 0;
    for n in 0..2_000 {
        let now = NOW + Span::from_millis(n);
        let mut spec = spec("d1", n);
        spec.key = format!("claims/kochi/r{n}");
        batcher.push(Ticket(n), Claim::start(spec).1).unwrap();
        if batcher.next_call(now).is_some() {
            calls += 1;
            let _ = batcher.on_outcome(reply_lost());
        }
    }
    assert_eq!(calls, 40);
    assert_eq!(batcher.due_at(), Some(NOW + Span::from_secs(2)));
}

// The store refuses a whole batch if the lease of one of its calls is gone, and again each time the
// same batch is sent. That one call would block all claims of the daemon.
#[test]
fn errors_of_one_call_do_not_fail_its_batch() {
    let mut store = store();
    let mut batcher = Batcher::new(Span::ZERO);
    for n in 0..3 {
        let mut spec = spec("d1", n);
        spec.key = format!("claims/kochi/r{n}");
        batcher.push(Ticket(n), Claim::start(spec).1).unwrap();
    }
    let _ = batcher.next_call(NOW).unwrap();
    let refused = Err(CallError::Refused("lease not found".to_owned()));
    assert!(batcher.on_outcome(refused.clone()).is_empty());
    let _ = batcher.next_call(NOW).unwrap();
    assert_eq!(batcher.on_outcome(refused).len(), 1);
    for _ in 0..2 {
        let call = batcher.next_call(NOW).unwrap();
        let outcomes = batcher.on_outcome(store.call(&call));
        assert!(outcomes[0].1.is_ok());
    }
}
