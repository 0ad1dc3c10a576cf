//! Bills through crashes, lost replies, outages and repeats.

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

// An impatient caller repeats through another daemon while the first still answers. Both
// answer, both record a bill, one counts.
#[test]
fn can_bill_once_when_two_daemons_answer() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.serve(1, 1);
    fleet.serve(1, 1);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// A caller repeats minutes after its request was rolled up. The fingerprint is still kept.
#[test]
fn can_bill_once_when_the_repeat_follows_the_roll_up() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    fleet.run(SECOND.times(120));
    assert_eq!(fleet.bills_of(1), 1);
    fleet.serve(2, 1);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// One daemon's bill is rolled up before an outage that outlasts the retry window; the
// repeat's bill waits it out with another daemon, and comes after the first roll-ups that
// follow the outage. They have not forgotten the bill: the fingerprints' clock stood still.
#[test]
fn can_bill_once_when_the_repeat_waits_out_an_outage() {
    let mut fleet = fleet(4);
    fleet.serve(0, 1);
    fleet.run(SECOND.times(60));
    fleet.is_store_down = true;
    fleet.serve(1, 1);
    fleet.run(SECOND.times(2000));
    let holder = holder_of(&fleet, 1);
    fleet.is_store_down = false;
    let other = (0..4)
        .find(|index| *index != 1 && *index != holder)
        .unwrap();
    for number in 100..300 {
        fleet.serve(other, number);
    }
    let is_late = |pending: &Pending| is_seal(pending, 1) || is_seal(pending, holder);
    let mut late = Vec::new();
    for _ in 0..240 {
        fleet.tick(Span::from_millis(250));
        while let Some(position) = fleet.position(is_late) {
            late.push(fleet.pending.remove(position));
        }
        fleet.deliver_all();
    }
    assert!(!late.is_empty() && fleet.export().totals().len() == 201);
    fleet.pending.extend(late);
    fleet.settle();
    assert_eq!(fleet.bills_of(1), 1);
}

// The store is down for longer than the bound. New work is refused before a bill is lost,
// requests in flight still find room, and all bills arrive when the store is back.
#[test]
fn errors_when_an_outage_outlasts_the_bound() {
    let mut fleet = Fleet::new(2, |cfg| cfg.capacity = 100);
    fleet.is_store_down = true;
    fleet.tick(SECOND);
    let mut number = 0;
    while fleet.daemons[0].ledger.has_room(10) {
        fleet.serve(0, number);
        number += 1;
    }
    assert_eq!(number, 90);
    for in_flight in 90..100 {
        fleet.serve(0, in_flight);
    }
    fleet.run(SECOND.times(7200));
    assert!(!fleet.daemons[0].ledger.has_room(0));
    fleet.settle();
    assert!(fleet.daemons[0].ledger.has_room(10));
    assert_eq!(fleet.export().totals().len(), 100);
}

// The second holder has no room left. The daemon gives its bills to another one.
#[test]
fn can_choose_another_holder_when_one_is_full() {
    let mut fleet = Fleet::new(3, |cfg| cfg.custody_capacity = 50);
    fleet.is_store_down = true;
    fleet.tick(SECOND);
    let first = holder_of(&fleet, 0);
    for number in 0..60 {
        fleet.serve(first, number);
    }
    for number in 100..140 {
        fleet.serve(0, number);
        fleet.run(SECOND);
    }
    fleet.run(SECOND.times(10));
    assert!(
        fleet
            .answered
            .iter()
            .filter(|number| **number >= 100)
            .count()
            == 40
    );
    fleet.settle();
    assert_eq!(fleet.export().totals().len(), 100);
}

// A roll-up's write seems lost and is done again; more batches are rolled up. Then the first
// write takes effect after all. It would put back the totals of then, and bills would be
// missing; its compares fail.
#[test]
fn can_roll_up_once_when_the_effect_comes_late() {
    let mut fleet = fleet(3);
    fleet.serve(0, 1);
    let position = run_until(&mut fleet, is_commit);
    fleet.lose_reply(position, true);
    for number in 2..200 {
        fleet.serve(1, number);
    }
    fleet.run(SECOND.times(60));
    assert_eq!(fleet.export().totals().len(), 199);
    fleet.settle();
    let totals = fleet.export().totals();
    assert!(totals.len() == 199 && totals.values().all(|sum| sum.requests == 1));
}

// Two daemons see different fleets, so that both roll up a shard at once.
#[test]
fn can_roll_up_by_two_at_once() {
    let mut fleet = fleet(2);
    for number in 0..100 {
        fleet.serve(number as usize % 2, number);
    }
    for _ in 0..300 {
        fleet.now = fleet.now + Span::from_millis(250);
        for index in 0..2 {
            fleet.tick_with(index, &[]);
        }
        fleet.deliver_all();
    }
    fleet.settle();
    let totals = fleet.export().totals();
    assert_eq!(totals.len(), 100);
    assert!(totals.values().all(|sum| sum.requests == 1));
    let rolled: u64 = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.ledger.fill().rolled)
        .sum();
    assert_eq!(rolled, 100);
}

// A batch that cannot be read does not stop the shard's roll-ups; it is put aside.
#[test]
fn can_roll_up_beside_a_damaged_batch() {
    let mut fleet = fleet(2);
    for number in 0..100 {
        fleet.serve(0, number);
    }
    let position = run_until(&mut fleet, |pending| is_seal(pending, 0));
    fleet.deliver(position);
    let damage = keyvalue::Put {
        key: fleet.keys("/batches/").remove(0),
        value: bytes::Bytes::from_static(b"\x01\xff\xff"),
        lease: None,
    };
    fleet.spoil([keyvalue::Op::Put(damage)].into_iter());
    fleet.settle();
    let counted = fleet.export().totals().len();
    assert!((50..100).contains(&counted));
    assert_eq!(fleet.keys("/damaged/").len(), 1);
}

// An operator exports and drains while a late batch of the same hour is rolled up. What
// grew after the export stays; both exports together have every bill once.
#[test]
fn can_drain_without_losing_what_came_late() {
    let mut fleet = fleet(2);
    for number in 0..100 {
        fleet.serve(0, number);
    }
    fleet.run(SECOND.times(60));
    let first = fleet.export();
    for number in 100..110 {
        fleet.serve(1, number);
    }
    fleet.run(SECOND.times(60));
    let mut drain = Drain::new(&first);
    while let Some(request) = drain.next_call() {
        let outcome = fleet.call(&request);
        drain.on_store(outcome).unwrap();
    }
    assert!((1..=10).contains(&drain.kept()));
    let second = fleet.export().totals();
    for number in 100..110 {
        assert!(
            second
                .keys()
                .any(|account| account.customer == bill(number, WallTime(0)).id.customer)
        );
    }
    assert!(second.len() < 110);
}

// A peer sends bytes that are not charges, or charges past the bound: they are counted,
// and nothing else happens.
#[test]
fn errors_when_a_peer_sends_rubbish() {
    let mut fleet = fleet(2);
    let hold = |charges: Vec<u8>| Message::Hold {
        origin: Origin {
            daemon: peer(1).id,
            incarnation: Incarnation(7),
        },
        sealed: 0,
        first: 1,
        charges: charges.into(),
        by: Incarnation(7),
    };
    fleet.serve(1, 1);
    fleet.tick(Span::from_millis(20));
    let position = fleet.position(is_hold).unwrap();
    let Pending::Message { message, .. } = fleet.pending[position].clone() else {
        unreachable!("it is a hold");
    };
    let Message::Hold { charges, .. } = message else {
        unreachable!("it is a hold");
    };
    let mut padded = charges.to_vec();
    padded.resize(MAX_BATCH_BYTES + 1, 0);
    for charges in [padded, vec![], vec![9], vec![1, 255, 255, 255]] {
        let effects = fleet.daemons[0]
            .ledger
            .on_peer(fleet.now, &peer(1).id, hold(charges));
        assert!(effects.is_empty());
    }
    assert_eq!(fleet.daemons[0].ledger.fill().damaged, 4);
}
