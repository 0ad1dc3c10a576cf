//! A driver over engines and a store that are a few lines each.

#[path = "support/simulation.rs"]
mod simulation;

use catalogue::entry::{RolloutState, VersionState};
use rollout::edit::set_state;
use rollout::waiting::Waiting;
use rollout::{Effect, OrderKind};
use simulation::{World, name};
use types::prelude::*;

fn unloads(effects: &[Effect]) -> Vec<&UpstreamId> {
    let orders = effects.iter().filter_map(|effect| match effect {
        Effect::Order(order) => Some(order),
        _ => None,
    });
    let unloads = orders.filter(|order| order.kind == OrderKind::Unload);
    unloads.map(|order| &order.engine).collect()
}

fn acts(effects: &[Effect]) -> bool {
    let acts = |e: &Effect| matches!(e, Effect::Order(_) | Effect::Edit { .. });
    effects.iter().any(acts)
}

#[test]
fn can_bring_a_version_in_step_by_step() {
    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.state() == RolloutState::Done);
    assert_eq!(world.steps_seen, [0, 1, 2]);
    assert_eq!(world.ready("2"), 64.0);
    // The old version still has the demand of its sessions.
    world.run(300);
    assert!(world.ready("1") >= 32.0);
    world.on = [0.0, 20.0];
    world.withdraw("1");
    world.run_until(|w| w.ready("1") == 0.0);
    assert!(world.drivers[0].held(world.now).is_some());
    world.run(10);
    assert_eq!(world.drivers[0].held(world.now), None);
}

/// A driver is paused for a minute in the middle of a roll-out and wakes. Its lease has
/// lapsed and another daemon drives. If it went on from what it remembers, it would move
/// the roll-out and remove capacity beside its successor.
#[test]
fn errors_keep_a_driver_from_acting_once_its_lease_has_lapsed() {
    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.steps_seen.len() == 2);
    world.now = world.now + Span::from_secs(60);
    let effects = world.tick_only(0);
    assert!(!acts(&effects), "{effects:?}");
    assert_eq!(world.drivers[0].waiting(), Some(&Waiting::Lease));
}

/// A roll-out that is done, with the old version's capacity all there, and engines that have
/// come back from a restart with the old version only; the driver has seen that.
fn restarted(engines: usize, demand: f64, restarted: usize) -> World {
    let mut world = World::new(engines, demand);
    world.run_until(|w| w.state() == RolloutState::Done);
    world.on = [f64::from(u32::MAX), 0.0];
    world.loads_blocked = true;
    let last = world.engines.iter_mut().rev().take(restarted);
    last.for_each(|engine| engine.ready = vec![name("1")]);
    world.run(100);
    world.on = [0.0, demand];
    world
}

/// Two versions' capacity gone: the engines of the new version restart without it while
/// the old one is being removed. Going on with the removal would leave the demand with
/// nothing to run on.
#[test]
fn errors_keep_the_old_version_while_the_new_one_is_short() {
    let mut world = restarted(4, 20.0, 3);
    world.withdraw("1");
    world.run(300);
    assert_eq!(world.ready("1"), 64.0);
    world.loads_blocked = false;
    world.run_until(|w| w.ready("1") == 0.0);
    assert_eq!(world.ready("2"), 64.0);
}

/// A driver is paused with an order in hand that removes version 2, from the time of a
/// roll-out back to 1. Its successor brings 2 in again and removes 1 as soon as 2 just
/// fits the demand. The first one wakes, its engine ignores old numbers, and nothing fits
/// any more. So there is room for one more engine before anything goes.
#[test]
fn errors_keep_room_for_one_late_order() {
    // Two engines with 2 ready, 32 slots, fit the demand and its headroom, and no more.
    let mut world = restarted(3, 24.0, 1);
    world.withdraw("1");
    world.run(300);
    assert_eq!(world.ready("1"), 48.0);
}

/// All engines but one restart and lose the new version just after their reports were
/// read, in the middle of the removal of the old one. Each is read again before its turn;
/// one that has lost the new version keeps the old one, or it would be left with nothing.
#[test]
fn errors_keep_engines_from_being_left_empty() {
    for ticks in 0..30 {
        let mut world = restarted(4, 20.0, 0);
        // No removal yet: what is lost between a report and the order is lost unseen.
        world.on = [f64::from(u32::MAX), 0.0];
        world.run(ticks);
        world.on = [0.0, 20.0];
        world.withdraw("1");
        let last = world.engines.iter_mut().skip(1);
        last.for_each(|engine| engine.ready = vec![name("1")]);
        world.run(300);
        let empty = world.engines.iter().any(|engine| engine.ready.is_empty());
        assert!(!empty, "restarted after {ticks} ticks");
    }
}

/// The old version is draining and its sessions still need three engines. Taking one away
/// would queue them while the new version idles.
#[test]
fn errors_keep_what_the_sessions_of_a_draining_version_need() {
    let mut world = World::new(4, 40.0);
    world.run_until(|w| w.state() == RolloutState::Done);
    world.on = [30.0, 10.0];
    world.run(300);
    // 30 slots with a quarter more and one engine to lose need 53.5: all four engines.
    assert_eq!(world.ready("1"), 64.0);
    world.on = [15.0, 25.0];
    world.run(300);
    assert_eq!(world.ready("1"), 48.0);
}

/// A paused driver wakes with an order to remove in its hands, on engines that ignore its
/// old number. Were several removals under way at once, all of them would land late, on
/// whatever its successor now relies on. One at most is, whatever engines report.
#[test]
fn errors_keep_removals_one_at_a_time() {
    let mut world = World::new(8, 20.0);
    world.run_until(|w| w.state() == RolloutState::Done);
    world.on = [0.0, 20.0];
    world.withdraw("1");
    world
        .engines
        .iter_mut()
        .for_each(|engine| engine.deaf = true);
    let mut under_way = Vec::new();
    for _ in 0..20 {
        let effects = world.step();
        under_way.extend(unloads(&effects).into_iter().cloned());
    }
    assert_eq!(under_way.len(), 1, "{under_way:?}");
}

/// The driver last read an engine a while ago; since then an operator of the platform has
/// moved the version elsewhere. An order from the old picture removes the wrong thing. So
/// the engine is read first and the order follows the fresh report.
#[test]
fn errors_keep_orders_from_following_old_reports() {
    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.state() == RolloutState::Done);
    world.on = [0.0, 20.0];
    world.withdraw("1");
    world.now = world.now + Span::from_secs(3);
    let effects = world.tick_only(0);
    assert!(unloads(&effects).is_empty());
    let first = UpstreamId::new("e0").unwrap();
    assert!(effects.contains(&Effect::Read(first)));
}

/// The new version is suspended for its answers in the middle of its roll-out. Going on
/// would expose more sessions to it; the roll-out goes back. With both versions suspended
/// there is nowhere to go, and an operator decides.
#[test]
fn can_go_back_when_the_new_version_is_suspended() {
    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.steps_seen.len() == 2);
    world.evidence.new_suspended = true;
    world.run_until(|w| w.state() == RolloutState::Aborted);
    let states = &world.model.versions;
    assert_eq!(states[&name("2")].state, VersionState::Draining);

    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.steps_seen.len() == 2);
    world.evidence.new_suspended = true;
    world.evidence.old_suspended = true;
    world.run_until(|w| w.state() == RolloutState::Paused);
}

/// The new version turns bad after the roll-out is done and the old one drains. Removing
/// the old one's capacity now would take the only way out.
#[test]
fn errors_keep_the_old_version_when_the_new_one_is_suspended_late() {
    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.state() == RolloutState::Done);
    world.on = [0.0, 20.0];
    world.evidence.new_suspended = true;
    world.run(300);
    assert_eq!(world.ready("1"), 64.0);
}

/// An operator withdraws the new version while the driver, which has not seen that yet,
/// moves to the next step. A blind write would make the version offered again. The write
/// is bound to the revision that the driver saw.
#[test]
fn can_lose_an_edit_to_an_operator() {
    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.steps_seen.len() == 2);
    let before = (world.model.clone(), world.revision);
    let edit = loop {
        let effects = world.tick_only(0);
        let edits = effects.iter().find(|e| matches!(e, Effect::Edit { .. }));
        if let Some(edit) = edits.cloned() {
            break edit;
        }
        world.carry_out(0, effects);
        world.pass();
    };
    world.model = set_state(&before.0, &name("2"), VersionState::Withdrawn).unwrap();
    world.revision = before.1.next();
    world.carry_out(0, vec![edit]);
    assert_eq!(
        world.model.versions[&name("2")].state,
        VersionState::Withdrawn
    );
    world.on = [20.0, 0.0];
    world.run_until(|w| w.ready("2") == 0.0);
}

/// The weight store lets one load begin every ten seconds. A driver that asked again at
/// once, or loaded without leave, would slow every other model's loads.
#[test]
fn can_wait_for_the_weight_store() {
    let mut world = World::new(4, 20.0);
    world.slot_every = Span::from_secs(10);
    world.run(250);
    // In fifty seconds: once when a load begins, once when the next one must wait.
    assert!(world.slots_asked <= 10, "asked {} times", world.slots_asked);
    world.run_until(|w| w.state() == RolloutState::Done);
    assert_eq!(world.loads, 4);
}

/// The reply to the lease's creation is lost, after it took effect. A driver that took
/// this for a failure would wait out its own lease, and every roll-out stands still.
#[test]
fn can_hold_a_lease_whose_reply_was_lost() {
    let mut world = World::new(2, 10.0);
    world.run(2);
    world.store.lose_next = true;
    world.run(3);
    let hold = world.drivers[0].held(world.now).expect("the lease is held");
    let (key, _) = world.store.key.as_ref().unwrap();
    assert_eq!(hold.fencing, u64::try_from(key.mod_revision.0).unwrap());
}

/// Two daemons find the key absent. The second creates it, the first one's attempt fails,
/// and the reply that says so is lost. Reading the key, the first one must not take the
/// other's lease for its own.
#[test]
fn errors_keep_a_lease_from_being_taken_for_one_s_own() {
    let mut world = World::new(2, 10.0);
    let create = loop {
        let effects = world.tick_only(0);
        let is_create = |e: &Effect| matches!(e, Effect::Store(call) if matches!(call.request, keyvalue::Request::Txn(_)));
        if effects.iter().any(is_create) {
            break effects;
        }
        world.carry_out(0, effects);
        world.pass();
    };
    while world.drivers[1].held(world.now).is_none() {
        let effects = world.tick_only(1);
        world.carry_out(1, effects);
    }
    world.store.lose_next = true;
    world.carry_out(0, create);
    world.run(5);
    assert_eq!(world.drivers[0].held(world.now), None);
    assert_eq!(world.drivers[0].holder().unwrap().as_str(), "d1");
}

/// A roll-out has ended and nobody drives it. An engine restarts with the old, withdrawn
/// version, as it was set up, and lacks the new one. Some minutes later it is put right.
#[test]
fn can_put_right_an_engine_that_came_back_with_the_old_version() {
    let mut world = World::new(3, 10.0);
    world.run_until(|w| w.state() == RolloutState::Done);
    world.on = [0.0, 10.0];
    world.withdraw("1");
    world.run_until(|w| w.ready("1") == 0.0);
    world.run(20);
    assert_eq!(world.drivers[0].held(world.now), None);
    world.engines[1].ready = vec![name("1")];
    world.run_until(|w| w.ready("1") == 0.0 && w.ready("2") == 48.0);
}

/// The store goes down for a minute. The lease cannot be renewed, and another may hold it
/// as soon as the store is back; until then this daemon stops before its lease ends.
#[test]
fn can_stop_and_go_on_around_an_outage_of_the_store() {
    let mut world = World::new(4, 20.0);
    world.run_until(|w| w.steps_seen.len() == 2);
    let first = world.drivers[0].held(world.now).unwrap();
    world.store.down = true;
    world.run(100);
    assert_eq!(world.drivers[0].held(world.now), None);
    world.store.down = false;
    world.run_until(|w| w.state() == RolloutState::Done);
    let second = world.drivers[0].held(world.now).unwrap();
    assert!(second.fencing > first.fencing);
}

/// Two daemons want to drive. The second one looks at the key and waits; it takes over
/// with a larger number once the first is gone, and never while it holds the lease.
#[test]
fn can_hand_over_between_two_daemons() {
    let mut world = World::new(4, 20.0);
    let both = |world: &mut World| {
        for index in 0..2 {
            let effects = world.tick_only(index);
            world.carry_out(index, effects);
        }
        world.pass();
        world
            .drivers
            .iter()
            .filter(|d| d.held(world.now).is_some())
            .count()
    };
    for _ in 0..200 {
        assert!(both(&mut world) <= 1);
    }
    let first = world.drivers[0].held(world.now).unwrap();
    assert_eq!(world.drivers[1].holder().unwrap().as_str(), "d0");
    for _ in 0..300 {
        let effects = world.tick_only(1);
        world.carry_out(1, effects);
        world.pass();
    }
    let second = world.drivers[1].held(world.now).unwrap();
    assert!(second.fencing > first.fencing);
    assert_eq!(world.drivers[0].held(world.now), None);
}
