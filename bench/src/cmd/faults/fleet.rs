//! The stand-in platform with both users' catalogues, and the daemons.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use standins::engine::EngineConfig;
use standins::plain::PlainConfig;
use standins::platform::{Platform, PlatformConfig};
use types::prelude::*;

use super::balancer::Balancer;
use crate::daemons::{Addresses, CLUSTER, Daemon, DaemonPlan, Scratch};

const KOCHI: &str = include_str!("../../../../examples/kochi.yaml");
const CLASACH: &str = include_str!("../../../../examples/clasach.yaml");
const DOMAINS: [&str; 8] = [
    "kaloor",
    "athlone",
    "vyttila",
    "mullingar",
    "edappally",
    "tullamore",
    "fort-kochi",
    "longford",
];

/// A fleet of daemons with its platform and its balancer.
pub struct Fleet {
    /// Daemon processes, which fault injection stops and restarts.
    pub daemons: Vec<Mutex<Daemon>>,
    /// Stand-ins of the platform's services.
    pub platform: Platform,
    balancer: Arc<Balancer>,
    _scratch: Scratch,
}

impl Fleet {
    /// Starts the stand-ins and the given number of daemons.
    pub fn start(daemons: usize) -> eyre::Result<Self> {
        let mut entries = catalogue::file::parse("kochi.yaml", KOCHI)?;
        entries.extend(catalogue::file::parse("clasach.yaml", CLASACH)?);
        let platform = Platform::start(&platform_config(), &entries)?;
        platform.seed(&CLUSTER.parse()?, &"bench".parse()?, Clock::new().wall());
        let scratch = Scratch::new("buckthorncross-faults")?;
        let addresses = (0..daemons).map(|_| Addresses::free());
        let addresses = addresses.collect::<Result<Vec<_>, _>>()?;
        let seeds = addresses.iter().map(|a| a.peers).collect::<Vec<_>>();
        let mut started = Vec::new();
        for (index, addresses) in addresses.iter().enumerate() {
            let plan = plan(index, *addresses, &seeds);
            let daemon = Daemon::start(plan, &platform, scratch.path())?;
            started.push(Mutex::new(daemon));
        }
        let callers = addresses.iter().map(|a| a.callers);
        Ok(Self {
            daemons: started,
            platform,
            balancer: Arc::new(Balancer::new(callers)),
            _scratch: scratch,
        })
    }

    /// Returns the balancer that callers use.
    pub fn balancer(&self) -> Arc<Balancer> {
        self.balancer.clone()
    }

    /// Locks one daemon and calls `act` with it.
    pub fn with_daemon<T>(&self, index: usize, act: impl FnOnce(&mut Daemon) -> T) -> T {
        let daemon = self.daemons[index].lock();
        act(&mut daemon.unwrap_or_else(PoisonError::into_inner))
    }
}

fn plan(index: usize, addresses: Addresses, seeds: &[SocketAddr]) -> DaemonPlan {
    let others = seeds.iter().filter(|seed| **seed != addresses.peers);
    DaemonPlan {
        name: format!("entry-{}", index + 1),
        failure_domain: DOMAINS[index % DOMAINS.len()].to_owned(),
        addresses,
        seeds: others.copied().collect(),
        log: "warn".to_owned(),
        key: "example-placements-desk".to_owned(),
    }
}

fn platform_config() -> PlatformConfig {
    let engine = EngineConfig {
        token_time: Span::from_millis(4),
        token_time_per_running: Span::from_micros(100),
        prefill_per_1000: Span::from_millis(20),
        answer_tokens: 4096,
        ..EngineConfig::default()
    };
    let plain = PlainConfig {
        service_time: Span::from_millis(3),
        ..PlainConfig::default()
    };
    PlatformConfig {
        engine,
        plain,
        ..PlatformConfig::default()
    }
}
