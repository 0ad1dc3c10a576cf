//! Runs real daemons as child processes with generated settings.
//!
//! Each is signalled by its own process id: SIGTERM tests a graceful shutdown, SIGKILL a crash.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{Context, bail};
use rand::RngExt;
use standins::platform::Platform;

use crate::load::http::{Connection, HttpRequest};

/// Time limit for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A temporary folder that is removed when dropped.
#[derive(Debug)]
pub struct Scratch(PathBuf);

impl Scratch {
    /// Creates a folder in the system's folder for temporary files.
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // Files that can't be removed stay in the system's folder for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Addresses on which a daemon listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the operators' API.
    pub operators: SocketAddr,
    /// Listener for other daemons.
    pub peers: SocketAddr,
}

/// Ports below the kernel's ephemeral range. An address is chosen before its daemon starts, and in
/// between the kernel could assign an ephemeral port to another process.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
const MAX_PORT_ATTEMPTS: usize = 100;

impl Addresses {
    /// Finds three ports that are currently free.
    pub fn free() -> eyre::Result<Self> {
        // All are bound at the same time, so that they differ.
        let listeners = [listener()?, listener()?, listener()?];
        Ok(Self {
            callers: listeners[0].local_addr()?,
            operators: listeners[1].local_addr()?,
            peers: listeners[2].local_addr()?,
        })
    }
}

fn listener() -> eyre::Result<TcpListener> {
    let ports = (0..MAX_PORT_ATTEMPTS).map(|_| rand::rng().random_range(PORT_RANGE));
    let mut listeners = ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok());
    listeners
        .next()
        .ok_or_else(|| eyre::eyre!("no free port among {PORT_RANGE:?}"))
}

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Name of the daemon.
    pub name: String,
    /// Failure domain of the daemon.
    pub failure_domain: String,
    /// Addresses on which it listens.
    pub addresses: Addresses,
    /// Peer addresses of the daemons that it joins.
    pub seeds: Vec<SocketAddr>,
    /// Log filter, such as `warn`.
    pub log: String,
    /// A customer's key, used to check whether the daemon is ready.
    pub key: String,
}

impl DaemonPlan {
    /// Settings of a single daemon that serves the customer with this key.
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

/// Name of the cluster that all daemons of the experiments belong to.
pub const CLUSTER: &str = "bench";
/// Token for the operators' API.
pub const OPERATOR_TOKEN: &str = "bench-operator-token";

/// A running daemon process.
#[derive(Debug)]
pub struct Daemon {
    /// Settings that it was started with.
    pub plan: DaemonPlan,
    settings_path: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts a daemon and waits until it is ready.
    pub fn start(plan: DaemonPlan, platform: &Platform, scratch: &Path) -> eyre::Result<Self> {
        let settings_path = scratch.join(format!("{}.yaml", plan.name));
        fs::write(&settings_path, settings_yaml(&plan, platform))?;
        let child = spawn(&settings_path, scratch, &plan.name)?;
        let mut daemon = Self {
            plan,
            settings_path,
            child,
        };
        daemon.wait_ready()?;
        Ok(daemon)
    }

    /// Restarts the daemon with the same settings after it stopped or was killed.
    pub fn restart(&mut self) -> eyre::Result<()> {
        let scratch = self.settings_path.parent().unwrap_or(Path::new("."));
        self.child = spawn(&self.settings_path, scratch, &self.plan.name)?;
        self.wait_ready()
    }

    fn wait_ready(&mut self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                bail!("daemon {} exited during startup: {status}", self.plan.name);
            }
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        bail!("daemon {} did not become ready in time", self.plan.name)
    }

    /// Returns whether the daemon serves its customer. It refuses all requests until it has a
    /// catalogue.
    pub fn is_ready(&self) -> bool {
        let bearer = format!("Bearer {}", self.plan.key);
        let request = HttpRequest {
            method: "GET",
            path: "/v1/models",
            headers: &[("authorization", &bearer)],
            body: &[],
        };
        let response = Connection::new(self.plan.addresses.callers).send(&request);
        response.is_ok_and(|response| response.status == 200)
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        Ok(kib.unwrap_or(0) * 1024)
    }

    /// Processor time used so far, in seconds.
    pub fn cpu_seconds(&self) -> eyre::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid()))?;
        let after_name = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let fields = after_name.split_whitespace().skip(11).take(2);
        let ticks = fields.filter_map(|f| f.parse::<u64>().ok()).sum::<u64>();
        Ok(ticks as f64 / TICKS_PER_SECOND)
    }

    /// Sends SIGTERM; returns whether the daemon exited successfully in time.
    pub fn terminate(&mut self, within: Duration) -> eyre::Result<bool> {
        self.signal("TERM")?;
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(false)
    }

    /// Suspends the process with SIGSTOP, like a paused host.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal("STOP")
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal("CONT")
    }

    /// Kills the process with SIGKILL.
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

/// Clock ticks per second of processor time in `/proc`, 100 on all current Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.kill();
    }
}

fn spawn(settings_path: &Path, scratch: &Path, name: &str) -> eyre::Result<Child> {
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
        .arg(settings_path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .wrap_err("starting buckthorncrossd")
}

fn settings_yaml(plan: &DaemonPlan, platform: &Platform) -> String {
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
