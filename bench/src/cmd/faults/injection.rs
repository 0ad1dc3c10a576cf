//! Injects one random fault per second; faults may overlap.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::engine::{Engine, EngineFault};
use standins::plain::{PlainFault, PlainService};
use types::prelude::*;

use super::fleet::Fleet;

const FAULT_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of a fault that affects more than one request.
const FAULT_DURATION: Duration = Duration::from_millis(2500);
/// Time from when a daemon goes down until the balancer's probe notices.
const PROBE_DELAY: Duration = Duration::from_millis(200);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without faults at the end of the load, so that the last requests can complete.
const FAULT_FREE_TAIL: Duration = Duration::from_secs(3);

/// A fault that was injected.
#[derive(Debug, Clone)]
pub struct InjectedFault {
    /// Kind of fault.
    pub fault: Fault,
    /// Index of the affected daemon, for faults of daemons.
    pub daemon: Option<usize>,
    /// Start of the fault.
    pub started_at: Instant,
    /// End of the fault.
    pub ended: Instant,
}

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// One request fails at an engine.
    EngineRequest,
    /// An engine is down for a while.
    EngineDown,
    /// An engine is many times slower for a while.
    EngineSlow,
    /// One request fails at a plain service.
    PlainRequest,
    /// An instance of a plain service is down for a while.
    PlainDown,
    /// The key-value service is down.
    StoreDown,
    /// The key-value service is slow.
    StoreSlow,
    /// Writes take effect without a reply, or later.
    StoreLostReplies,
    /// A daemon is killed and replaced.
    DaemonKilled,
    /// A daemon shuts down gracefully and is replaced.
    DaemonReplaced,
    /// A daemon is paused.
    DaemonPaused,
}

const FAULTS: [Fault; 15] = [
    Fault::EngineRequest,
    Fault::EngineRequest,
    Fault::EngineRequest,
    Fault::EngineRequest,
    Fault::EngineDown,
    Fault::EngineSlow,
    Fault::PlainRequest,
    Fault::PlainRequest,
    Fault::PlainDown,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLostReplies,
    Fault::DaemonKilled,
    Fault::DaemonReplaced,
    Fault::DaemonPaused,
];

const ENGINE_FAULTS: [EngineFault; 14] = [
    EngineFault::RefuseNotRun,
    EngineFault::Refuse,
    EngineFault::RefuseAfterRun,
    EngineFault::CrossedRefusal,
    EngineFault::ResetBefore,
    EngineFault::ResetAfter,
    EngineFault::Stall(3),
    EngineFault::Truncate(3),
    EngineFault::Break(3),
    EngineFault::Crossed,
    EngineFault::CrossedBody,
    EngineFault::CrossedAfter(2),
    EngineFault::Late(Span(1_500_000)),
    EngineFault::NoFinish,
];

const PLAIN_FAULTS: [PlainFault; 5] = [
    PlainFault::ResetBefore,
    PlainFault::ResetAfter,
    PlainFault::Refuse(true),
    PlainFault::Fail,
    PlainFault::Slow(Span(1_500_000)),
];

/// Injects faults until shortly before the end of the load; returns after all of them have ended.
pub fn run(fleet: &Fleet, seed: u64, length: Duration) -> eyre::Result<Vec<InjectedFault>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let deadline = started_at + length.saturating_sub(FAULT_FREE_TAIL);
    std::thread::scope(|scope| {
        let mut handles = Vec::new();
        let mut next = started_at + FAULT_INTERVAL;
        while next < deadline {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            next += FAULT_INTERVAL;
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let seed = rng.random();
            handles.push(scope.spawn(move || inject(fleet, fault, seed)));
        }
        let handles = handles.into_iter().map(|thread| {
            let result = thread.join();
            result.map_err(|_| eyre::eyre!("the thread of an injected fault panicked"))?
        });
        handles.collect()
    })
}

/// Replaces the daemons one after another, evenly spread over the load.
pub fn replace_each(fleet: &Fleet, length: Duration) -> eyre::Result<Vec<InjectedFault>> {
    let count = fleet.daemons.len();
    let interval = length.saturating_sub(FAULT_FREE_TAIL).div_f64(count as f64);
    let first = Instant::now();
    let faults = (0..count).map(|index| {
        let start = first + interval.mul_f64(index as f64);
        std::thread::sleep(start.saturating_duration_since(Instant::now()));
        let started_at = Instant::now();
        inject_daemon_fault(fleet, Fault::DaemonReplaced, index)?;
        let ended = Instant::now();
        Ok(InjectedFault {
            fault: Fault::DaemonReplaced,
            daemon: Some(index),
            started_at,
            ended,
        })
    });
    faults.collect()
}

/// Counts the injected faults by kind.
pub fn count_by_kind(injected: &[InjectedFault]) -> BTreeMap<String, usize> {
    let mut occurrences = BTreeMap::new();
    for fault in injected {
        let name = format!("{:?}", fault.fault);
        *occurrences.entry(name).or_default() += 1;
    }
    occurrences
}

fn inject(fleet: &Fleet, fault: Fault, seed: u64) -> eyre::Result<InjectedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let mut daemon = None;
    match fault {
        Fault::EngineRequest => {
            let fault_kind = ENGINE_FAULTS[rng.random_range(0..ENGINE_FAULTS.len())];
            random_engine(fleet, &mut rng).fail_next(fault_kind);
        }
        Fault::EngineDown => {
            let engine = random_engine(fleet, &mut rng);
            engine.set_faults(|faults| faults.down = true);
            std::thread::sleep(FAULT_DURATION);
            engine.set_faults(|faults| faults.down = false);
        }
        Fault::EngineSlow => {
            let engine = random_engine(fleet, &mut rng);
            engine.set_faults(|faults| faults.slow_factor = 20);
            std::thread::sleep(FAULT_DURATION);
            engine.set_faults(|faults| faults.slow_factor = 1);
        }
        Fault::PlainRequest => {
            let fault_kind = PLAIN_FAULTS[rng.random_range(0..PLAIN_FAULTS.len())];
            random_plain_service(fleet, &mut rng).fail_next(fault_kind);
        }
        Fault::PlainDown => {
            let plain = random_plain_service(fleet, &mut rng);
            plain.set_faults(|faults| faults.down = true);
            std::thread::sleep(FAULT_DURATION);
            plain.set_faults(|faults| faults.down = false);
        }
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLostReplies => {
            inject_store_fault(fleet, fault)
        }
        Fault::DaemonKilled | Fault::DaemonReplaced | Fault::DaemonPaused => {
            let index = rng.random_range(0..fleet.daemons.len());
            daemon = Some(index);
            inject_daemon_fault(fleet, fault, index)?;
        }
    }
    let ended = Instant::now();
    Ok(InjectedFault {
        fault,
        daemon,
        started_at,
        ended,
    })
}

fn random_engine<'a>(fleet: &'a Fleet, rng: &mut StdRng) -> &'a Engine {
    let engines = fleet.platform.engines.values().collect::<Vec<_>>();
    engines[rng.random_range(0..engines.len())]
}

fn random_plain_service<'a>(fleet: &'a Fleet, rng: &mut StdRng) -> &'a PlainService {
    let services = fleet.platform.plain.values().collect::<Vec<_>>();
    services[rng.random_range(0..services.len())]
}

fn inject_store_fault(fleet: &Fleet, fault: Fault) {
    let store = &fleet.platform.store;
    match fault {
        Fault::StoreDown => {
            store.set_faults(|faults| faults.down = true);
            std::thread::sleep(FAULT_DURATION);
            store.set_faults(|faults| faults.down = false);
        }
        Fault::StoreSlow => {
            store.set_faults(|faults| faults.delay = Span::from_millis(250));
            std::thread::sleep(FAULT_DURATION);
            store.set_faults(|faults| faults.delay = Span::ZERO);
        }
        _ => store.set_faults(|faults| {
            faults.lost_replies = 4;
            faults.delayed_effects = 2;
            faults.effect_delay = Span::from_millis(700);
            faults.watch_gap = 2;
        }),
    }
}

/// Injects a fault of a daemon. The daemon is locked meanwhile, so that its faults don't overlap.
fn inject_daemon_fault(fleet: &Fleet, fault: Fault, index: usize) -> eyre::Result<()> {
    let balancer = fleet.balancer();
    fleet.with_daemon(index, |daemon| {
        match fault {
            Fault::DaemonKilled => {
                daemon.kill()?;
                std::thread::sleep(PROBE_DELAY);
                balancer.set_in_rotation(index, false);
                daemon.restart()?;
            }
            Fault::DaemonReplaced => {
                let probe = balancer.clone();
                std::thread::scope(|scope| {
                    scope.spawn(move || {
                        std::thread::sleep(PROBE_DELAY);
                        probe.set_in_rotation(index, false);
                    });
                    daemon.terminate(SHUTDOWN_TIMEOUT)
                })?;
                // A daemon that didn't exit in time is killed, as the platform would.
                daemon.kill()?;
                daemon.restart()?;
            }
            _ => {
                daemon.pause()?;
                std::thread::sleep(PROBE_DELAY);
                balancer.set_in_rotation(index, false);
                std::thread::sleep(FAULT_DURATION);
                daemon.resume()?;
            }
        }
        balancer.set_in_rotation(index, true);
        Ok(())
    })
}
