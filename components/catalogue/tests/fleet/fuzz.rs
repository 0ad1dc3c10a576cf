//! Random sequences of edits, faults, restarts and races, checked against a simple oracle.
//!
//! `BUCKTHORNCROSS_FUZZ_CASES` sets the number of sequences.

use std::collections::{BTreeMap, BTreeSet};

use catalogue::edit::*;
use catalogue::head::void_name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use standins::store::Table;
use types::prelude::*;

use crate::world::*;

const DAEMONS: usize = 5;
const ENTRIES: [&str; 3] = ["customers/a", "customers/b", "customers/c"];

#[derive(Debug, Clone)]
enum Op {
    /// One edit, or two concurrent ones, of an entry. A `stale` one expects the entry to be
    /// absent, whatever the daemon holds.
    Edit {
        indexes: Vec<usize>,
        entry: usize,
        remove: bool,
        stale: bool,
        shared_key: bool,
    },
    WriteFaults(Vec<u8>),
    Query {
        index: usize,
        nth: usize,
    },
    Run(u64),
    Restart(usize),
    Pause(usize, bool),
    Store(bool),
    Partition(Vec<usize>),
    ApplyDelayed,
    Backup,
    Restore,
}

fn operations() -> impl Strategy<Value = Op> {
    let index = 0..DAEMONS;
    let indexes = prop::collection::vec(index.clone(), 1..3);
    let edit = (indexes, 0..ENTRIES.len(), prop::bool::weighted(0.2));
    let edit = (edit, prop::bool::weighted(0.1), prop::bool::weighted(0.1));
    let edit = edit.prop_map(|((indexes, entry, remove), stale, shared_key)| Op::Edit {
        indexes,
        entry,
        remove,
        stale,
        shared_key,
    });
    prop_oneof![
        8 => edit,
        4 => prop::collection::vec(0..4u8, 1..4).prop_map(Op::WriteFaults),
        3 => (index.clone(), 0..8usize).prop_map(|(index, nth)| Op::Query { index, nth }),
        8 => (1..60u64).prop_map(Op::Run),
        2 => index.clone().prop_map(Op::Restart),
        2 => (index.clone(), any::<bool>()).prop_map(|(index, on)| Op::Pause(index, on)),
        2 => prop::bool::weighted(0.6).prop_map(Op::Store),
        2 => prop::collection::vec(index, 0..3).prop_map(Op::Partition),
        3 => Just(Op::ApplyDelayed),
        1 => Just(Op::Backup),
        1 => Just(Op::Restore),
    ]
}

/// Reference without state: any operation may follow any other.
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        operations().boxed()
    }

    fn apply((): (), _: &Op) {}
}

/// Compares the verdicts that operators were given with the edits applied in the store.
#[derive(Default)]
struct Oracle {
    edits: BTreeMap<EditId, (Ticket, usize, IfMatch)>,
    /// Later queries for edits by their ids.
    queries: Vec<(EditId, Ticket)>,
    /// Latest revision of each entry seen at each daemon.
    seen: BTreeMap<(usize, EntryName), Revision>,
}

impl Oracle {
    fn check(&mut self, fleet: &Fleet) {
        let applied: BTreeMap<EditId, Revision> = fleet
            .applied_edits
            .iter()
            .map(|(revision, id)| (*id, *revision))
            .collect();
        let first = self.edits.iter().map(|(id, (ticket, ..))| (*id, *ticket));
        for (id, ticket) in first.chain(self.queries.iter().copied()) {
            match fleet.verdicts.get(&ticket) {
                Some(Verdict::Applied { revision }) => {
                    assert_eq!(applied.get(&id), Some(revision), "told applied: {id}");
                }
                None | Some(Verdict::Unknown { .. }) => {}
                Some(refused) => assert_eq!(applied.get(&id), None, "{id} was told {refused:?}"),
            }
        }
        self.check_preconditions(fleet);
        self.check_never_reverts(fleet);
    }

    /// Checks that each applied edit replaced exactly the revision that its operator had seen.
    fn check_preconditions(&self, fleet: &Fleet) {
        let mut standing = [Revision(0); ENTRIES.len()];
        for (revision, id) in &fleet.applied_edits {
            // An id that is not an edit's belongs to a void marker.
            let Some((_, entry, if_match)) = self.edits.get(id).copied() else {
                continue;
            };
            if let IfMatch::Revision(seen) = if_match {
                assert_eq!(seen, standing[entry], "edit {id} replaced something else");
            }
            standing[entry] = *revision;
        }
    }

    /// Checks that no daemon went back to an older record.
    fn check_never_reverts(&mut self, fleet: &Fleet) {
        for index in 0..DAEMONS {
            for (name, record) in fleet.daemon(index).sync.catalogue().records() {
                let seen = self.seen.entry((index, name.clone())).or_default();
                assert!(
                    record.revision >= *seen,
                    "d{index}: {name} reverted to {record:?}"
                );
                *seen = record.revision;
            }
        }
    }

    /// Checks, after all faults have ended, that the store and every daemon hold the latest
    /// applied edit of each entry.
    fn check_converged(&self, fleet: &Fleet) {
        let mut standing = BTreeMap::new();
        for (revision, id) in &fleet.applied_edits {
            let entry = match self.edits.get(id) {
                Some((_, entry, _)) => name(ENTRIES[*entry]),
                None => void_name(EditId(!id.0)),
            };
            standing.insert(entry, (*revision, *id));
        }
        let stored = fleet.stored();
        let stored: BTreeMap<_, _> = stored.iter().map(|(n, r)| (n.clone(), r.rank())).collect();
        assert_eq!(stored, standing, "the store");
        for index in 0..DAEMONS {
            let records = fleet.daemon(index).sync.catalogue().records();
            let held: BTreeMap<_, _> = records.map(|(n, r)| (n.clone(), r.rank())).collect();
            assert_eq!(held, standing, "d{index}");
        }
    }
}

struct Simulation {
    fleet: Fleet,
    oracle: Oracle,
    backup: Option<Table>,
    weight: usize,
}

impl Simulation {
    fn edit(&mut self, index: usize, entry: usize, remove: bool, stale: bool, shared_key: bool) {
        let catalogue = self.fleet.daemon(index).sync.catalogue();
        let record = catalogue.record(&name(ENTRIES[entry]));
        let standing = record.filter(|record| record.entry.is_some());
        let if_match = match standing {
            Some(record) if !stale => IfMatch::Revision(record.revision),
            _ => IfMatch::Absent,
        };
        self.weight += 1;
        let key = if shared_key { 99 } else { entry };
        let new = (!remove).then(|| customer(key, self.weight));
        let timeout = Span::from_secs(5);
        let (id, ticket) = self
            .fleet
            .edit(index, ENTRIES[entry], if_match, new, timeout);
        self.oracle.edits.insert(id, (ticket, entry, if_match));
    }

    fn query(&mut self, index: usize, id: EditId) {
        let entry = ENTRIES[self.oracle.edits[&id].1];
        let ticket = self.fleet.query(index, id, Some(entry));
        self.oracle.queries.push((id, ticket));
    }

    /// Whether every daemon that is not paused holds all applied edits, and none is partitioned.
    fn is_converged(&self) -> bool {
        let last = self
            .fleet
            .applied_edits
            .keys()
            .last()
            .copied()
            .unwrap_or_default();
        let daemons = self.fleet.daemons.values().filter(|daemon| !daemon.paused);
        let holds = |daemon: &Daemon| daemon.sync.catalogue().revision() == last;
        self.fleet.partitioned.is_empty()
            && daemons.clone().count() > 2
            && daemons.into_iter().all(holds)
    }

    /// Whether the store or another running daemon holds all applied edits, so that none is lost
    /// with this daemon.
    fn may_restart(&self, index: usize) -> bool {
        let last = self
            .fleet
            .applied_edits
            .keys()
            .last()
            .copied()
            .unwrap_or_default();
        let others = (0..DAEMONS).filter(|other| *other != index);
        let mut others = others.map(|other| self.fleet.daemon(other));
        self.fleet.head().revision == last
            || others.any(|other| !other.paused && other.sync.catalogue().revision() == last)
    }

    fn restart(&mut self, index: usize) {
        if self.may_restart(index) {
            self.fleet.restart(index);
            self.oracle.seen.retain(|(at, _), _| *at != index);
        }
    }

    fn restore(&mut self) {
        if self.is_converged()
            && let Some(backup) = self.backup.clone()
        {
            self.fleet.table = backup;
            self.fleet.delayed.clear();
        }
    }

    /// Ends all faults and runs until the fleet should have converged.
    fn end_faults(&mut self) {
        self.fleet.store_up = true;
        self.fleet.partitioned.clear();
        self.fleet.write_faults.clear();
        (0..DAEMONS).for_each(|index| self.fleet.pause(index, false));
        self.fleet.run(Span::from_secs(40));
    }
}

/// Runs the operations on a simulated fleet.
struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = Simulation;
    type Reference = AnyOrder;

    fn init_test((): &()) -> Simulation {
        Simulation {
            fleet: Fleet::new(DAEMONS, 42),
            oracle: Oracle::default(),
            backup: None,
            weight: 0,
        }
    }

    fn apply(mut world: Simulation, (): &(), op: Op) -> Simulation {
        let fleet = &mut world.fleet;
        match op {
            Op::Edit {
                indexes,
                entry,
                remove,
                stale,
                shared_key,
            } => {
                for index in indexes {
                    world.edit(index, entry, remove, stale, shared_key);
                }
            }
            Op::WriteFaults(write_faults) => {
                let all = [
                    WriteFault::NoFault,
                    WriteFault::ReplyLost,
                    WriteFault::Delayed,
                    WriteFault::NotSent,
                ];
                fleet.write_faults = write_faults
                    .iter()
                    .map(|fault| all[usize::from(*fault)])
                    .collect();
            }
            Op::Query { index, nth } => {
                if let Some(id) = world.oracle.edits.keys().rev().nth(nth).copied() {
                    world.query(index, id);
                }
            }
            Op::Run(steps) => fleet.run(STEP.times(steps)),
            Op::Restart(index) => world.restart(index),
            Op::Pause(index, paused) => fleet.pause(index, paused),
            Op::Store(up) => fleet.store_up = up,
            Op::Partition(indexes) => fleet.partitioned = indexes.into_iter().map(id).collect(),
            Op::ApplyDelayed => fleet.apply_delayed(),
            Op::Backup => world.backup = Some(fleet.table.clone()),
            Op::Restore => world.restore(),
        }
        world.oracle.check(&world.fleet);
        world
    }

    fn teardown(mut world: Simulation, (): ()) {
        world.end_faults();
        let ids: BTreeSet<EditId> = world.oracle.edits.keys().copied().collect();
        for id in ids {
            world.query(0, id);
        }
        world.fleet.run(Span::from_secs(5));
        world.fleet.apply_delayed();
        world.fleet.run(Span::from_secs(5));
        world.oracle.check(&world.fleet);
        world.oracle.check_converged(&world.fleet);
        assert!(
            world.fleet.daemon(0).editor.is_empty(),
            "questions without an answer"
        );
    }
}

fn config() -> Config {
    let cases = std::env::var("BUCKTHORNCROSS_FUZZ_CASES").ok();
    Config {
        cases: cases.and_then(|text| text.parse().ok()).unwrap_or(300),
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Searches for orders of edits and faults, beyond those of the other tests, that lead to a
    /// false verdict, an older record replacing a newer one, or a daemon that does not converge.
    #[test]
    fn can_keep_verdicts_true_and_converge_under_faults(sequential 1..40 => FleetTest);
}
