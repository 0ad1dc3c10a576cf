//! Real daemons as child processes, with settings written for them.
//!
//! Each is stopped by its own process id: with SIGTERM to see it leave, with SIGKILL to
//! see it die.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Context, bail};
use rand::RngExt;
use standins::platform::Platform;

use crate::load::http::{Ask, Connection};

/// Longest wait for a daemon to be ready.
const READY_WITHIN: Duration = Duration::from_secs(20);
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// A folder that goes when dropped.
#[derive(Debug)]
pub struct Scratch(PathBuf);

impl Scratch {
    /// Makes one in the system's folder for such.
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // What is left lies in the system's folder for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Where a daemon listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// Ports below those that the kernel gives out by itself: an address is found before its
/// daemon starts, and any other process could be given such a port in between.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
const TRIES: usize = 100;

impl Addresses {
    /// Ports that are free now.
    pub fn free() -> eyre::Result<Self> {
        // All held at once, so that they differ.
        let held = [listener()?, listener()?, listener()?];
        Ok(Self {
            callers: held[0].local_addr()?,
            operators: held[1].local_addr()?,
            peers: held[2].local_addr()?,
        })
    }
}

fn listener() -> eyre::Result<TcpListener> {
    let ports = (0..TRIES).map(|_| rand::rng().random_range(PORTS));
    let mut listeners = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    listeners
        .next()
        .ok_or_else(|| eyre::eyre!("no free port among {PORTS:?}"))
}

/// What one daemon is told.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where it listens.
    pub addresses: Addresses,
    /// Daemons to join.
    pub seeds: Vec<SocketAddr>,
    /// Such as `warn`.
    pub log: String,
    /// A customer's key, to see when it serves.
    pub key: String,
}

impl DaemonPlan {
    /// For one daemon alone, which serves the customer of a key.
    pub fn alone(key: &str) -> eyre::Result<Self> {
        Ok(Self {
            name: "entry-1".to_owned(),
            failure_domain: "one".to_owned(),
            addresses: Addresses::free()?,
            seeds: Vec::new(),
            log: "warn".to_owned(),
            key: key.to_owned(),
        })
    }
}

/// The fleet that bench daemons belong to.
pub const CLUSTER: &str = "bench";
/// The token of the bench's operator.
pub const OPERATOR_TOKEN: &str = "bench-operator-token";

/// A daemon's process.
#[derive(Debug)]
pub struct Daemon {
    /// What it was told.
    pub plan: DaemonPlan,
    settings: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts it and waits until it is ready.
    pub fn start(plan: DaemonPlan, platform: &Platform, scratch: &Path) -> eyre::Result<Self> {
        let settings = scratch.join(format!("{}.yaml", plan.name));
        fs::write(&settings, yaml(&plan, platform))?;
        let child = spawn(&settings, scratch, &plan.name)?;
        let mut daemon = Self {
            plan,
            settings,
            child,
        };
        daemon.wait_ready()?;
        Ok(daemon)
    }

    /// Starts it again with the same settings, after it stopped or was killed.
    pub fn restart(&mut self) -> eyre::Result<()> {
        let scratch = self.settings.parent().unwrap_or(Path::new("."));
        self.child = spawn(&self.settings, scratch, &self.plan.name)?;
        self.wait_ready()
    }

    fn wait_ready(&mut self) -> eyre::Result<()> {
        let ends = Instant::now() + READY_WITHIN;
        while Instant::now() < ends {
            if let Some(status) = self.child.try_wait()? {
                bail!("daemon {} ended at its start: {status}", self.plan.name);
            }
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(LOOK_AGAIN);
        }
        bail!("daemon {} is not ready in time", self.plan.name)
    }

    /// Whether it serves its customer: before it holds a catalogue it refuses all.
    pub fn is_ready(&self) -> bool {
        let bearer = format!("Bearer {}", self.plan.key);
        let ask = Ask {
            method: "GET",
            path: "/v1/models",
            headers: &[("authorization", &bearer)],
            body: &[],
        };
        let got = Connection::new(self.plan.addresses.callers).ask(&ask);
        got.is_ok_and(|got| got.status == 200)
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Its resident memory in bytes.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        Ok(kib.unwrap_or(0) * 1024)
    }

    /// Processor time that it has used, in seconds.
    pub fn cpu_seconds(&self) -> eyre::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid()))?;
        let after = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let fields = after.split_whitespace().skip(11).take(2);
        let ticks = fields.filter_map(|f| f.parse::<u64>().ok()).sum::<u64>();
        Ok(ticks as f64 / TICKS_PER_SECOND)
    }

    /// Asks it to leave; gives whether it ended in time and well.
    pub fn terminate(&mut self, within: Duration) -> eyre::Result<bool> {
        self.signal("TERM")?;
        let ends = Instant::now() + within;
        while Instant::now() < ends {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(LOOK_AGAIN);
        }
        Ok(false)
    }

    /// Stops it for a while, as a paused host would.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal("STOP")
    }

    /// Lets it go on.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal("CONT")
    }

    /// Ends it at once.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    fn signal(&self, name: &str) -> eyre::Result<()> {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.pid().to_string()])
            .status()
            .wrap_err("kill")?;
        if !status.success() {
            bail!("signal {name} could not be sent to {}", self.plan.name);
        }
        Ok(())
    }
}

/// The unit of processor time in `/proc`, on every Linux of today.
const TICKS_PER_SECOND: f64 = 100.0;

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.kill();
    }
}

fn spawn(settings: &Path, scratch: &Path, name: &str) -> eyre::Result<Child> {
    let program = std::env::current_exe()?.with_file_name("buckthorncrossd");
    if !program.exists() {
        bail!(
            "{} is missing: build the workspace first",
            program.display()
        );
    }
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(scratch.join(format!("{name}.log")))?;
    Command::new(program)
        .arg("run")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .wrap_err("starting buckthorncrossd")
}

fn yaml(plan: &DaemonPlan, platform: &Platform) -> String {
    let seeds = plan.seeds.iter().map(|seed| format!("'{seed}'"));
    let seeds = seeds.collect::<Vec<_>>().join(", ");
    format!(
        "cluster: {CLUSTER}\n\
         daemon: {}\n\
         failure_domain: {}\n\
         region: here\n\
         callers: {{listen: '{}'}}\n\
         operators: {{listen: '{}', tokens: {{bench: {OPERATOR_TOKEN}}}}}\n\
         peers: {{listen: '{}', seeds: [{seeds}], keys: [{{id: k1, secret: bench-fleet-secret}}]}}\n\
         store: {{endpoints: ['{}']}}\n\
         platform: {{rater: '{}', weights: '{}', hosts: '{}'}}\n\
         log: {{filter: {}}}\n\
         shutdown: {{notice: 500ms}}\n",
        plan.name,
        plan.failure_domain,
        plan.addresses.callers,
        plan.addresses.operators,
        plan.addresses.peers,
        platform.store.address(),
        platform.rater.address(),
        platform.weights.address(),
        platform.hosts.address(),
        plan.log,
    )
}
