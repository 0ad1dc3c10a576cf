"""Daemons as processes, started with the deploy file's command, with settings like those of a small
deployment."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.request import urlopen

# Below the ports that the system hands out, and below those of the repository's soak.
PORTS = (11000, 20500)

ROOT = Path(os.environ.get("REPO") or Path(__file__).resolve().parents[2])

BOUNDS = {
    "seed-propagation-s": 3,
    "address-reuse-s": 2,
    "stability-window-ms": 3000,
    "ack-timeout-ms": 4000,
    "catchup-s": 4,
    "drain-timeout-ms": 2000,
    "grace-period-s": 8,
    "loss-slack-ms": 200,
    "config-propagation-ms": 2000,
    "rollback-slack-ms": 250,
    "partition-extension-ms": 5000,
    "fail-closed-revocation": False,
    "revocation-ms": 5000,
    "retry-budget-ratio": 0.9,
    "budget-window-s": 10,
    "retry-budget-allowance": 58,
    "exposure-fraction": 0.15,
    "exposure-allowance": 30,
    "rollback-timeout-ms": 5000,
    "recovery-time-s": 12,
    "delivery-delay-ms": 120,
    "reuse-window-s": 9,
    "session-ttl-s": 5,
}

LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def free_ports(count):
    """Finds free ports below those that the system hands out to connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def command():
    with open(ROOT / "deploy" / "system.toml", "rb") as f:
        roles = tomllib.load(f)["roles"]
    return next(iter(roles.values()))["run"].split(" ")


class Daemon:
    """One entry daemon, over all runs of its program."""

    def __init__(self, fleet, number, memory_mb):
        self.fleet, self.number, self.memory_mb = fleet, number, memory_mb
        self.process = None
        self.settings = fleet.folder / f"local-{number}.yaml"
        self.log = fleet.folder / f"daemon-{number}.log"
        self.choose_ports()

    def choose_ports(self):
        ports = free_ports(4)
        self.callers = f"127.0.0.1:{ports[0]}"
        self.ready = f"127.0.0.1:{ports[1]}"
        self.peers = f"127.0.0.1:{ports[2]}"
        self.tunnel_port = ports[3]

    def write_settings(self):
        text = {
            "node-name": f"frontend-zone-a-{self.number}",
            "role": "entry",
            "machine-class": "frontend",
            "served-roles": ["frontend", "control_plane"],
            "ip-address": "127.0.0.1",
            "availability-zone": "zone-a",
            "region": "region-1",
            "zones": {"zone-a": "region-1", "zone-b": "region-1"},
            "listen-addresses": {
                "frontend": self.callers,
                "ready": self.ready,
                "control-plane": self.peers,
            },
            "internal-port-range": [self.tunnel_port, self.tunnel_port],
            "seed-nodes": [d.peers for d in self.fleet.daemons[:3]],
            "bootstrap": False,
            "failure-domain-member": False,
            "limits": {
                "cpu-quota": 0.25,
                "cpu-cores": 1,
                "memory-limit-mb": self.memory_mb,
                "file-descriptors": 4100,
                "link-bandwidth-mbps": 1000.0,
                "disk-quota-mb": 0,
            },
            "data-directory": None,
            "discovery-source": "platform",
            "entry-type": "virtual_ip",
            "heartbeat-interval-ms": 1200,
            "contract-bounds": BOUNDS,
            "platform-settings": {
                "address": self.fleet.store.address,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-retention-s": 20,
                "max-value-bytes": 1048576,
                "min-ttl-ms": 1000,
            },
        }
        self.settings.write_text(json.dumps(text, indent=1))

    async def start(self):
        self.write_settings()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["BUCKTHORNCROSS_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(), cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        def ask():
            try:
                return urlopen(f"http://{self.ready}/v1/readiness", timeout=1).status == 200
            except OSError:
                return False
        return await asyncio.to_thread(ask)

    async def state(self):
        def ask():
            return json.load(urlopen(f"http://{self.ready}/state", timeout=2))
        return await asyncio.to_thread(ask)

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/status") as f:
            for line in f:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Fleet:
    """The daemons of a case, in a temporary folder."""

    def __init__(self, store, count, memory_mb=110):
        self.store = store
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.daemons = []
        for number in range(1, count + 1):
            self.daemons.append(Daemon(self, number, memory_mb))

    async def start(self):
        """Starts the daemons. A port that was free may have been taken; then others are tried."""
        for tries_left in (2, 1, 0):
            for daemon in self.daemons:
                await daemon.start()
            try:
                return await self.wait_ready(8.0)
            except TimeoutError as e:
                print(e, flush=True)
                if tries_left == 0:
                    raise
            for daemon in self.daemons:
                if daemon.process.returncode is None:
                    await daemon.kill()
                daemon.choose_ports()

    async def wait_ready(self, within=15.0):
        until = time.monotonic() + within
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until:
                    last = daemon.log.read_text().splitlines()[-3:]
                    raise TimeoutError(f"daemon {daemon.number} isn't ready: {last}")
                await asyncio.sleep(0.05)

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.signal(signal.SIGCONT)
                await daemon.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    return {
        "name": name, "hostname": "shop.example", "prefix": prefix, "route-type": kind,
        "timeout-ms": 10000, "target-latency-ms": 300, "priority": 1, "service": service,
        "max-attempts": 1, "anonymous-access": False, "session-affinity": False, **more,
    }


def service(name, **more):
    return {
        "name": name, "health-check-path": "/health", "connection-limit": 110, "protocol": "h1",
        "transport-security": False, **more,
    }


def config(version, routes, services, **more):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS, **more}
