//! Bills through crashes, lost replies, outages and repeats.

#[path = "support/counting.rs"]
mod counting;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/fuzz.rs"]
mod fuzz;

use fleet::{Fleet, Pending, bill, peer};
use ledger::*;
use types::prelude::*;

const SECOND: Span = Span::from_secs(1);

fn fleet(size: usize) -> Fleet {
    let mut fleet = Fleet::new(size, |_| {});
    fleet.tick(SECOND);
    fleet.deliver_all();
    fleet
}

fn is_hold(pending: &Pending) -> bool {
    matches!(
        pending,
        Pending::Message {
            message: Message::Hold { .. },
            ..
        }
    )
}

fn is_held(pending: &Pending) -> bool {
    matches!(
        pending,
        Pending::Message {
            message: Message::Held { .. },
            ..
        }
    )
}

/// A call of one daemon that writes a batch.
fn is_seal(pending: &Pending, of: usize) -> bool {
    match pending {
        Pending::Call {
            from,
            request: keyvalue::Request::Txn(txn),
            ..
        } => *from == of && txn.success.iter().any(is_batch_put),
        _ => false,
    }
}

fn is_batch_put(op: &keyvalue::Op) -> bool {
    matches!(op, keyvalue::Op::Put(put) if put.key.contains("/batches/"))
}

fn is_commit(pending: &Pending) -> bool {
    match pending {
        Pending::Call {
            request: keyvalue::Request::Txn(txn),
            ..
        } => {
            let puts = txn.success.iter();
            puts.clone()
                .any(|op| matches!(op, keyvalue::Op::Put(put) if put.key.contains("/totals/")))
        }
        _ => false,
    }
}

/// Ticks without delivering until a daemon wants a call of this kind.
fn run_until(fleet: &mut Fleet, wanted: impl Fn(&Pending) -> bool) -> usize {
    for _ in 0..1000 {
        if let Some(position) = fleet.position(&wanted) {
            return position;
        }
        fleet.tick(Span::from_millis(250));
        while let Some(position) = fleet.position(|pending| !wanted(pending)) {
            fleet.deliver(position);
        }
    }
    panic!("no such call came");
}

/// The index of the daemon that holds another's charges.
fn holder_of(fleet: &Fleet, index: usize) -> usize {
    let holder = fleet.daemons[index].ledger.fill().holder;
    let position = fleet
        .daemons
        .iter()
        .position(|daemon| Some(&daemon.peer.id) == holder.as_ref());
    position.unwrap()
}

#[test]
fn can_bill_every_answer_once() {
    let mut fleet = fleet(3);
    for number in 0..300 {
        fleet.serve(number as usize % 3, number);
    }
    fleet.settle();
    let statement = fleet.export();
    assert!(!statement.pending);
    assert_eq!(fleet.answered.len(), 300);
    assert!(fleet.weak.is_empty());
    let sums: Vec<_> = statement.totals().into_values().collect();
    assert_eq!(sums.len(), 300);
    assert!(
        sums.iter()
            .all(|sum| sum.requests == 1 && sum.cost == Cost(1234))
    );
    let csv = statement.to_csv().unwrap();
    assert_eq!(csv.lines().count(), 301);
    assert!(
        csv.starts_with("hour,customer,entry,version,requests,input_tokens,output_tokens,cost")
    );
    assert!(fleet.keys("/batches/").is_empty());
}

// A caller has its whole answer, and nobody is billed: the daemon ended the answer and
// died before the second holder had the bill. The end must wait for the acknowledgement.
#[test]
fn errors_when_an_answer_would_end_before_its_bill_is_held() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    fleet.tick(Span::from_millis(20));
    assert!(fleet.position(is_hold).is_some());
    assert!(fleet.answered.is_empty());
    fleet.crash(0);
    fleet.pending.clear();
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 0);
}

// The daemon dies between the second holder's taking of the bill and the end of the
// answer. The caller has no whole answer and repeats through another daemon: one bill.
#[test]
fn can_bill_a_repeat_once_after_a_crash_before_the_end() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.tick(Span::from_millis(20));
    let position = fleet.position(is_hold).unwrap();
    fleet.deliver(position);
    fleet.crash(0);
    assert!(fleet.answered.is_empty());
    fleet.serve(1, 1);
    fleet.settle();
    assert!(fleet.answered.contains(&1));
    assert_eq!(fleet.bills_of(1), 1);
}

// The daemon dies right after the end of an answer, before its batch is sealed. The
// second holder sees it leave the fleet and seals in its place.
#[test]
fn can_seal_for_a_daemon_that_died() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.tick(Span::from_millis(20));
    let position = fleet.position(is_hold).unwrap();
    fleet.deliver(position);
    let position = fleet.position(is_held).unwrap();
    fleet.deliver(position);
    assert!(fleet.answered.contains(&1));
    fleet.crash(0);
    fleet.pending.clear();
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// The daemon and then its holder die during a store outage. Once its keeper was gone the
// holder had given the bill to a third daemon, so that it outlives the holder as well.
#[test]
fn can_keep_bills_through_two_losses_in_an_outage() {
    let mut fleet = fleet(4);
    fleet.is_store_down = true;
    fleet.serve(0, 1);
    fleet.run(SECOND);
    let holder = holder_of(&fleet, 0);
    fleet.crash(0);
    fleet.run(SECOND);
    fleet.crash(holder);
    fleet.run(SECOND.times(3600));
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// A batch takes effect and its reply is lost. The daemon writes it again: the mark has
// moved, so that the second write does nothing.
#[test]
fn can_seal_once_when_the_reply_is_lost() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal(pending, 0));
    fleet.lose_reply(position, false);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
    assert_eq!(fleet.daemons[0].ledger.fill().own, 0);
}

// A batch seems lost, is written again, rolled up and deleted. Then the first write takes
// effect after all. Were batches only created if absent, it would be there once more, and
// billed once more when the fingerprints have been dropped.
#[test]
fn can_seal_once_when_the_effect_comes_after_the_roll_up() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal(pending, 0));
    fleet.lose_reply(position, true);
    fleet.run(SECOND.times(60));
    assert_eq!(fleet.bills_of(1), 1);
    drop_fingerprints(&mut fleet);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
    let repeats: u64 = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.ledger.fill().repeats)
        .sum();
    assert_eq!(repeats, 0);
}

/// As if the retry window had passed.
fn drop_fingerprints(fleet: &mut Fleet) {
    let keys = [fleet.keys("/seen/"), fleet.keys("/shards/")].concat();
    fleet.spoil(keys.into_iter().map(keyvalue::Op::Delete));
}

// A daemon is paused with a batch on its way. Its holder seals in its place, the batch is
// rolled up. The daemon wakes, its call goes out, and finds the mark moved.
#[test]
fn can_seal_once_when_a_paused_daemon_wakes() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal(pending, 0));
    let call = fleet.pending.remove(position);
    fleet.daemons[0].is_paused = true;
    fleet.run(SECOND.times(60));
    assert_eq!(fleet.bills_of(1), 1);
    drop_fingerprints(&mut fleet);
    fleet.daemons[0].is_paused = false;
    fleet.pending.push(call);
    fleet.serve(0, 2);
    fleet.settle();
    assert_eq!((fleet.bills_of(1), fleet.bills_of(2)), (1, 1));
    assert_eq!(fleet.daemons[0].ledger.fill().own, 0);
}

// A daemon reaches its peers and not the store. Its holder does and seals in its place, long
// before the callers' retry window and the fingerprints of a repeat are over.
#[test]
fn can_seal_for_a_daemon_that_is_cut_off_from_the_store() {
    let mut fleet = fleet(3);
    fleet.daemons[0].is_cut_off = true;
    fleet.serve(0, 1);
    fleet.run(SECOND.times(120));
    assert_eq!(fleet.bills_of(1), 1);
}

// The outcome of a call gets lost inside the process. The batch is sealed all the same.
#[test]
fn can_seal_when_an_outcome_gets_lost() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal(pending, 0));
    fleet.pending.remove(position);
    fleet.run(SECOND.times(45));
    assert_eq!(fleet.daemons[0].ledger.fill().own, 0);
}

// Marks of runs that ended more than a week ago go; that of a live daemon stays.
#[test]
fn can_bound_the_marks_of_past_runs() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    fleet.run(SECOND.times(60));
    fleet.crash(0);
    fleet.now = fleet.now + SECOND.times(8 * 24 * 3600);
    fleet.serve(1, 2);
    fleet.run(SECOND.times(60));
    fleet.now = fleet.now + SECOND.times(3600);
    fleet.run(SECOND.times(60));
    assert_eq!(fleet.keys("/origins/").len(), 1);
}

// A holder is replaced while it is slow, and both it and the new one hold bills when the
// daemon dies. Both seal; the mark moves once.
#[test]
fn can_seal_once_when_two_hold_for_a_dead_daemon() {
    let mut fleet = fleet(4);
    fleet.is_store_down = true;
    fleet.serve(0, 1);
    fleet.run(SECOND);
    let first = holder_of(&fleet, 0);
    fleet.daemons[first].is_paused = true;
    fleet.serve(0, 2);
    fleet.run(SECOND);
    assert_ne!(holder_of(&fleet, 0), first);
    fleet.crash(0);
    fleet.settle();
    assert_eq!((fleet.bills_of(1), fleet.bills_of(2)), (1, 1));
    assert!(fleet.weak.is_empty());
}

// The second holder restarts and has forgotten everything, then the daemon dies. The
// holder's next acknowledgement told the daemon, which gave all its bills again.
#[test]
fn can_keep_bills_when_the_holder_restarts() {
    let mut fleet = fleet(2);
    fleet.is_store_down = true;
    fleet.serve(0, 1);
    fleet.run(SECOND);
    assert!(fleet.answered.contains(&1));
    fleet.crash(1);
    fleet.start(peer(1));
    fleet.serve(0, 2);
    fleet.run(SECOND);
    fleet.crash(0);
    fleet.settle();
    assert_eq!((fleet.bills_of(1), fleet.bills_of(2)), (1, 1));
    assert!(fleet.weak.is_empty());
}

// A daemon restarts under its name during an outage of the store; then the holder of its
// earlier run's bills dies. The holder had seen a later run, and given them to another.
#[test]
fn can_keep_bills_when_a_daemon_restarts_under_its_name() {
    let mut fleet = fleet(4);
    fleet.is_store_down = true;
    fleet.serve(0, 1);
    fleet.run(SECOND);
    let holder = holder_of(&fleet, 0);
    fleet.crash(0);
    fleet.start(peer(0));
    fleet.run(SECOND);
    fleet.crash(holder);
    fleet.settle();
    assert!(fleet.weak.is_empty());
    assert_eq!(fleet.bills_of(1), 1);
}

// The second holder restarts, and membership has not noticed when the daemon dies. The new
// run's acknowledgement told the daemon that everything before it is forgotten.
#[test]
fn can_keep_bills_when_the_holder_restarts_unnoticed() {
    let mut fleet = fleet(2);
    fleet.is_store_down = true;
    fleet.serve(0, 1);
    fleet.run(SECOND);
    let (daemon, before) = (fleet.daemons[0].peer.clone(), fleet.daemons[1].peer.clone());
    fleet.crash(1);
    let holder = fleet.start(peer(1));
    fleet.serve(0, 2);
    for _ in 0..20 {
        fleet.now = fleet.now + Span::from_millis(10);
        fleet.tick_with(0, std::slice::from_ref(&before));
        fleet.tick_with(holder, std::slice::from_ref(&daemon));
        fleet.deliver_all();
    }
    assert!(fleet.answered.contains(&2) && fleet.weak.is_empty());
    fleet.crash(0);
    fleet.settle();
    assert_eq!((fleet.bills_of(1), fleet.bills_of(2)), (1, 1));
}
