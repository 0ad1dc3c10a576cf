//! Billing under crashes, lost replies, store outages and retries.

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

fn is_replication(pending: &Pending) -> bool {
    matches!(
        pending,
        Pending::Message {
            message: Message::Replicate { .. },
            ..
        }
    )
}

fn is_acknowledgement(pending: &Pending) -> bool {
    matches!(
        pending,
        Pending::Message {
            message: Message::Acknowledge { .. },
            ..
        }
    )
}

/// Whether an effect is a call by which daemon `of` writes a batch.
fn is_seal_by(pending: &Pending, of: usize) -> bool {
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

/// Ticks and delivers all other effects until one of the wanted kind is pending.
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

/// Returns the index of the daemon that holds the charges of daemon `index`.
fn holder_of(fleet: &Fleet, index: usize) -> usize {
    let holder = fleet.daemons[index].ledger.fill().holder;
    let position = fleet
        .daemons
        .iter()
        .position(|daemon| Some(&daemon.peer.id) == holder.as_ref());
    position.unwrap()
}

// Without faults, each answer is billed once and no batch is left behind.
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
    assert!(fleet.unreplicated.is_empty());
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

// The end of an answer must wait for the second holder's acknowledgement of the bill. If the daemon
// ended the answer earlier and then crashed, a complete answer would never be billed.
#[test]
fn holds_back_an_answer_until_its_bill_is_replicated() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    fleet.tick(Span::from_millis(20));
    assert!(fleet.position(is_replication).is_some());
    assert!(fleet.answered.is_empty());
    fleet.crash(0);
    fleet.pending.clear();
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 0);
}

// The daemon crashes after the second holder has received the bill and before the end of the
// answer. The caller has no complete answer and retries through another daemon, which must not
// lead to a second bill.
#[test]
fn can_bill_a_retry_once_after_a_crash_before_the_end() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.tick(Span::from_millis(20));
    let position = fleet.position(is_replication).unwrap();
    fleet.deliver(position);
    fleet.crash(0);
    assert!(fleet.answered.is_empty());
    fleet.serve(1, 1);
    fleet.settle();
    assert!(fleet.answered.contains(&1));
    assert_eq!(fleet.bills_of(1), 1);
}

// The daemon crashes right after the end of an answer, before its batch is sealed. The second
// holder must notice and seal in its place, or the bill is lost.
#[test]
fn can_seal_for_a_daemon_that_died() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.tick(Span::from_millis(20));
    let position = fleet.position(is_replication).unwrap();
    fleet.deliver(position);
    let position = fleet.position(is_acknowledgement).unwrap();
    fleet.deliver(position);
    assert!(fleet.answered.contains(&1));
    fleet.crash(0);
    fleet.pending.clear();
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// The daemon and then its holder crash during a store outage. When the daemon is gone, the
// holder must replicate the bill to a third daemon, so that it survives the second crash.
#[test]
fn can_keep_bills_when_two_hosts_are_lost_in_an_outage() {
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

// The reply to the first write of a batch is lost. The mark has advanced, so the retry must have no
// effect, or the batch would be written twice.
#[test]
fn can_seal_once_when_the_reply_is_lost() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal_by(pending, 0));
    fleet.lose_reply(position, false);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
    assert_eq!(fleet.daemons[0].ledger.fill().own, 0);
}

// A write of a batch seems lost; the batch is written again, rolled up and deleted, and then
// the first write takes effect after all. If the write depended only on the absence of the
// batch, the batch would be created again and, once the fingerprints have expired, billed twice.
#[test]
fn can_seal_once_when_a_delayed_write_follows_the_roll_up() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal_by(pending, 0));
    fleet.lose_reply(position, true);
    fleet.run(SECOND.times(60));
    assert_eq!(fleet.bills_of(1), 1);
    expire_fingerprints(&mut fleet);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
    let repeats: u64 = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.ledger.fill().repeats)
        .sum();
    assert_eq!(repeats, 0);
}

/// Deletes all fingerprints, as if the retry window had passed.
fn expire_fingerprints(fleet: &mut Fleet) {
    let keys = [fleet.keys("/seen/"), fleet.keys("/shards/")].concat();
    fleet.write_directly(keys.into_iter().map(keyvalue::Op::Delete));
}

// A daemon is paused with a batch in flight, and its holder seals in its place; the batch is
// rolled up. When the daemon resumes, its call must find the mark advanced and have no effect.
#[test]
fn can_seal_once_when_a_paused_daemon_resumes() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal_by(pending, 0));
    let call = fleet.pending.remove(position);
    fleet.daemons[0].is_paused = true;
    fleet.run(SECOND.times(60));
    assert_eq!(fleet.bills_of(1), 1);
    expire_fingerprints(&mut fleet);
    fleet.daemons[0].is_paused = false;
    fleet.pending.push(call);
    fleet.serve(0, 2);
    fleet.settle();
    assert_eq!((fleet.bills_of(1), fleet.bills_of(2)), (1, 1));
    assert_eq!(fleet.daemons[0].ledger.fill().own, 0);
}

// A daemon can reach its peers but not the store. Its holder must seal in its place long before
// the callers' retry window ends and the fingerprints that detect a retry expire.
#[test]
fn can_seal_for_a_daemon_that_is_cut_off_from_the_store() {
    let mut fleet = fleet(3);
    fleet.daemons[0].is_cut_off = true;
    fleet.serve(0, 1);
    fleet.run(SECOND.times(120));
    assert_eq!(fleet.bills_of(1), 1);
}

// The outcome of a call is lost inside the process. The origin must still be sealed again, or its
// later bills would never reach the store.
#[test]
fn can_seal_after_an_outcome_is_lost() {
    let mut fleet = fleet(2);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, |pending| is_seal_by(pending, 0));
    fleet.pending.remove(position);
    fleet.run(SECOND.times(45));
    assert_eq!(fleet.daemons[0].ledger.fill().own, 0);
}

// Marks of incarnations that ended more than a week ago are deleted, or their number would grow
// without bound. The mark of a live daemon stays.
#[test]
fn can_delete_the_marks_of_past_incarnations() {
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

// A slow holder is replaced, and both holders have bills when the daemon crashes. Both seal them;
// the mark must advance only once.
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
    assert!(fleet.unreplicated.is_empty());
}

// The second holder restarts and loses its copy, then the daemon crashes. The holder's next
// acknowledgement must make the daemon send all its bills again.
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
    assert!(fleet.unreplicated.is_empty());
}

// A daemon restarts under the same name during a store outage; then the holder of the earlier
// incarnation's bills crashes. The holder must have noticed the later incarnation and replicated
// the bills to another daemon.
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
    assert!(fleet.unreplicated.is_empty());
    assert_eq!(fleet.bills_of(1), 1);
}

// The second holder restarts, and membership has not noticed it by the time the daemon crashes. The
// acknowledgement of the new incarnation must inform the daemon that the earlier copy is lost.
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
    assert!(fleet.answered.contains(&2) && fleet.unreplicated.is_empty());
    fleet.crash(0);
    fleet.settle();
    assert_eq!((fleet.bills_of(1), fleet.bills_of(2)), (1, 1));
}
