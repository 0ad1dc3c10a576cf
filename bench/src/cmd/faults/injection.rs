//! One fault a second, drawn at random; several overlap.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::engine::{Engine, EngineFault};
use standins::plain::{PlainFault, PlainService};
use types::prelude::*;

use super::fleet::Fleet;

const EVERY: Duration = Duration::from_secs(1);
/// A fault that lasts goes on for so long.
const LASTS: Duration = Duration::from_millis(2500);
/// From a daemon's going until the balancer's probe notices.
const PROBE: Duration = Duration::from_millis(200);
const LEAVES_WITHIN: Duration = Duration::from_secs(30);
/// No fault in the load's last seconds, so that the last requests can end.
const CALM_END: Duration = Duration::from_secs(3);

/// A fault that was made.
#[derive(Debug, Clone)]
pub struct Trouble {
    /// What.
    pub fault: Fault,
    /// At which daemon, for those.
    pub daemon: Option<usize>,
    /// When it began.
    pub begun: Instant,
    /// When it was over.
    pub ended: Instant,
}

/// Kinds of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// One request meets a fault at an engine.
    EngineRequest,
    /// An engine dies for a while.
    EngineDown,
    /// An engine takes many times as long.
    EngineSlow,
    /// One request meets a fault at a plain service.
    PlainRequest,
    /// A plain service's instance dies for a while.
    PlainDown,
    /// The key-value service is down.
    StoreDown,
    /// The key-value service is slow.
    StoreSlow,
    /// Writes take effect without a reply, or later.
    StoreLostReplies,
    /// A daemon is killed and replaced.
    DaemonKilled,
    /// A daemon leaves gracefully and is replaced.
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

/// Makes faults until shortly before the load's end; each is over when this returns.
pub fn run(fleet: &Fleet, seed: u64, length: Duration) -> eyre::Result<Vec<Trouble>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let ends = begun + length.saturating_sub(CALM_END);
    std::thread::scope(|scope| {
        let mut made = Vec::new();
        let mut next = begun + EVERY;
        while next < ends {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            next += EVERY;
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            let seed = rng.random();
            made.push(scope.spawn(move || make(fleet, fault, seed)));
        }
        let made = made.into_iter().map(|thread| {
            let result = thread.join();
            result.map_err(|_| eyre::eyre!("a thread of a fault panicked"))?
        });
        made.collect()
    })
}

/// Replaces the daemons one after another, evenly over the load.
pub fn replace_each(fleet: &Fleet, length: Duration) -> eyre::Result<Vec<Trouble>> {
    let count = fleet.daemons.len();
    let apart = length.saturating_sub(CALM_END).div_f64(count as f64);
    let first = Instant::now();
    let replaced = (0..count).map(|index| {
        let start = first + apart.mul_f64(index as f64);
        std::thread::sleep(start.saturating_duration_since(Instant::now()));
        let begun = Instant::now();
        daemon_fault(fleet, Fault::DaemonReplaced, index)?;
        let ended = Instant::now();
        Ok(Trouble {
            fault: Fault::DaemonReplaced,
            daemon: Some(index),
            begun,
            ended,
        })
    });
    replaced.collect()
}

/// How often each kind of fault was made.
pub fn tally(troubles: &[Trouble]) -> BTreeMap<String, usize> {
    let mut times = BTreeMap::new();
    for trouble in troubles {
        let name = format!("{:?}", trouble.fault);
        *times.entry(name).or_default() += 1;
    }
    times
}

fn make(fleet: &Fleet, fault: Fault, seed: u64) -> eyre::Result<Trouble> {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let mut daemon = None;
    match fault {
        Fault::EngineRequest => {
            let which = ENGINE_FAULTS[rng.random_range(0..ENGINE_FAULTS.len())];
            engine(fleet, &mut rng).fail_next(which);
        }
        Fault::EngineDown => {
            let engine = engine(fleet, &mut rng);
            engine.set_faults(|faults| faults.down = true);
            std::thread::sleep(LASTS);
            engine.set_faults(|faults| faults.down = false);
        }
        Fault::EngineSlow => {
            let engine = engine(fleet, &mut rng);
            engine.set_faults(|faults| faults.slow_factor = 20);
            std::thread::sleep(LASTS);
            engine.set_faults(|faults| faults.slow_factor = 1);
        }
        Fault::PlainRequest => {
            let which = PLAIN_FAULTS[rng.random_range(0..PLAIN_FAULTS.len())];
            plain(fleet, &mut rng).fail_next(which);
        }
        Fault::PlainDown => {
            let plain = plain(fleet, &mut rng);
            plain.set_faults(|faults| faults.down = true);
            std::thread::sleep(LASTS);
            plain.set_faults(|faults| faults.down = false);
        }
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLostReplies => store(fleet, fault),
        Fault::DaemonKilled | Fault::DaemonReplaced | Fault::DaemonPaused => {
            let index = rng.random_range(0..fleet.daemons.len());
            daemon = Some(index);
            daemon_fault(fleet, fault, index)?;
        }
    }
    let ended = Instant::now();
    Ok(Trouble {
        fault,
        daemon,
        begun,
        ended,
    })
}

fn engine<'a>(fleet: &'a Fleet, rng: &mut StdRng) -> &'a Engine {
    let engines = fleet.platform.engines.values().collect::<Vec<_>>();
    engines[rng.random_range(0..engines.len())]
}

fn plain<'a>(fleet: &'a Fleet, rng: &mut StdRng) -> &'a PlainService {
    let services = fleet.platform.plain.values().collect::<Vec<_>>();
    services[rng.random_range(0..services.len())]
}

fn store(fleet: &Fleet, fault: Fault) {
    let store = &fleet.platform.store;
    match fault {
        Fault::StoreDown => {
            store.set_faults(|faults| faults.down = true);
            std::thread::sleep(LASTS);
            store.set_faults(|faults| faults.down = false);
        }
        Fault::StoreSlow => {
            store.set_faults(|faults| faults.delay = Span::from_millis(250));
            std::thread::sleep(LASTS);
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

/// The daemon is held meanwhile, so that faults of one daemon follow each other.
fn daemon_fault(fleet: &Fleet, fault: Fault, index: usize) -> eyre::Result<()> {
    let balancer = fleet.balancer();
    fleet.with_daemon(index, |daemon| {
        match fault {
            Fault::DaemonKilled => {
                daemon.kill()?;
                std::thread::sleep(PROBE);
                balancer.set_in(index, false);
                daemon.restart()?;
            }
            Fault::DaemonReplaced => {
                let noticed = balancer.clone();
                std::thread::scope(|scope| {
                    scope.spawn(move || {
                        std::thread::sleep(PROBE);
                        noticed.set_in(index, false);
                    });
                    daemon.terminate(LEAVES_WITHIN)
                })?;
                // What did not end in time is ended by the platform.
                daemon.kill()?;
                daemon.restart()?;
            }
            _ => {
                daemon.pause()?;
                std::thread::sleep(PROBE);
                balancer.set_in(index, false);
                std::thread::sleep(LASTS);
                daemon.resume()?;
            }
        }
        balancer.set_in(index, true);
        Ok(())
    })
}
