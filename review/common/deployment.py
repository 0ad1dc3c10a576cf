"""A small deployment on loopback addresses: store, workers, daemons and clients."""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
KEY, TENANT = "key-of-the-tenant", "tenant-a"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed-propagation-s": 3, "address-reuse-s": 2, "stability-window-ms": 3000,
    "ack-timeout-ms": 4000, "catchup-s": 4, "drain-timeout-ms": 2000, "grace-period-s": 8,
    "loss-slack-ms": 200, "config-propagation-ms": 2000, "rollback-slack-ms": 250,
    "partition-extension-ms": 5000, "fail-closed-revocation": False, "revocation-ms": 5000,
    "retry-budget-ratio": 0.9, "budget-window-s": 10, "retry-budget-allowance": 58,
    "exposure-fraction": 0.15, "exposure-allowance": 30, "rollback-timeout-ms": 5000,
    "recovery-time-s": 12, "delivery-delay-ms": 120, "reuse-window-s": 9, "session-ttl-s": 5,
}


# Ports that were given out.
GIVEN = set()


class CannotRun(Exception):
    """The case could not be brought about."""


def free_port(host=HOST):
    """A free port below those that the kernel gives to clients' connections."""
    for _ in range(200):
        port = random.randrange(12000, 30000)
        with socket.socket() as s:
            try:
                s.bind((host, port))
            except OSError:
                continue
        if port not in GIVEN:
            GIVEN.add(port)
            return port
    raise CannotRun("no port is free")


def route(name, kind, service, **fields):
    return {
        "name": name, "hostname": "site.example", "prefix": f"/{name}/", "route-type": kind,
        "timeout-ms": 10000, "target-latency-ms": 2000, "priority": 1, "service": service,
        "max-attempts": 3, "anonymous-access": False, **fields,
    }


def config(version, routes, services, keys=(KEY,)):
    return {
        "version": version, "routes": routes,
        "services": [{"name": s, "health-check-path": "/health", "connection-limit": 110,
                      "protocol": "h1", "transport-security": False} for s in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": TENANT, "api-keys": list(keys), "priority": 1}],
    }


class Site:
    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(self.folder / "record.txt", "w")
        self.lock = threading.Lock()
        self.start_at = time.time()
        self.processes, self.workers, self.daemons, self.lines = [], {}, [], []
        self.entries = {}
        self.store = Store(HOST)

    def record(self, text):
        with self.lock:
            self.record_file.write(f"{time.time() - self.start_at:8.3f}  {text}\n")
            self.record_file.flush()

    def spawn(self, command, **options):
        process = subprocess.Popen(command, **options)
        self.processes.append(process)
        return process

    def worker(self, name, service, zone="kaloor-hall", address=None, options=(), **fields):
        address = address or f"{HOST}:{free_port()}"
        command = [sys.executable, str(pathlib.Path(__file__).with_name("worker.py")), name, address,
                   service, *options]
        process = self.spawn(command, stdout=subprocess.PIPE, text=True)
        listening = threading.Event()

        def follow():
            for text in process.stdout:
                line = json.loads(text)
                with self.lock:
                    self.lines.append(line)
                listening.set()
                about = {k: v for k, v in line.items() if k not in ("t", "worker", "what")}
                self.record(f"worker {name} {line['what']} {json.dumps(about)}")

        threading.Thread(target=follow, daemon=True).start()
        if not listening.wait(10):
            raise CannotRun(f"worker {name} does not listen")
        self.workers[name] = process
        self.entries[name] = {
            "service": service, "address": address, "availability-zone": zone, "version": "v1",
            "capacity-slots": 64, "state": "ready", "cold-remaining-ms": 0, "sequence-number": 1,
            **fields,
        }
        self.enter(name)
        return process

    def enter(self, name, **fields):
        """Writes a worker's entry, as the worker itself does."""
        self.entries[name].update(fields)
        self.store.put(f"servers/{name}", self.entries[name])
        self.record(f"store  servers/{name} state {self.entries[name]['state']}")

    def daemon(self, name, zone="kaloor-hall", seeds=None):
        ports = [free_port() for _ in range(4)]
        control = f"{HOST}:{ports[2]}"
        settings = {
            "node-name": name, "role": "entry", "machine-class": "frontend",
            "served-roles": ["frontend", "control_plane"], "ip-address": HOST,
            "availability-zone": zone, "region": "ernakulam", "zones": {zone: "ernakulam"},
            "listen-addresses": {"frontend": f"{HOST}:{ports[0]}", "ready": f"{HOST}:{ports[1]}",
                                 "control-plane": control},
            "internal-port-range": [ports[3], ports[3]],
            "seed-nodes": [control] if seeds is None else seeds, "bootstrap": True,
            "limits": {"cpu-quota": 0.25, "cpu-cores": 1, "memory-limit-mb": 110,
                       "file-descriptors": 4100, "link-bandwidth-mbps": 1000.0,
                       "disk-quota-mb": 0},
            "discovery-source": "platform", "entry-type": "virtual_ip",
            "heartbeat-interval-ms": 1200, "contract-bounds": BOUNDS,
            "platform-settings": {"address": self.store.address, "form": "kv",
                                  "writes-per-s": 400, "reads-per-s": 2000,
                                  "history-retention-s": 20, "max-value-bytes": 1048576,
                                  "min-ttl-ms": 1000},
        }
        path = self.temp / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        daemon = {"name": name, "callers": (HOST, ports[0]), "ready": (HOST, ports[1]),
                  "control": control, "settings": path}
        self.start_daemon(daemon)
        self.daemons.append(daemon)
        return daemon

    def start_daemon(self, daemon):
        env = {"PATH": os.environ["PATH"], "BUCKTHORNCROSS_NODE_FILE": str(daemon["settings"])}
        log = open(self.temp / f"{daemon['name']}.log", "a")
        daemon["process"] = self.spawn(["target/release/buckthorncrossd", "platform"], cwd=ROOT,
                                       env=env, stdout=log, stderr=log)

    def wait_ready(self, within=10):
        until = time.time() + within
        for daemon in self.daemons:
            while not self.is_ready(daemon):
                if time.time() > until:
                    raise CannotRun(f"daemon {daemon['name']} is not ready")
                time.sleep(0.05)

    @staticmethod
    def is_ready(daemon):
        try:
            conn = http.client.HTTPConnection(*daemon["ready"], timeout=1)
            conn.request("GET", "/v1/readiness")
            return conn.getresponse().status == 200
        except OSError:
            return False

    def runs(self, attempt):
        with self.lock:
            return [l for l in self.lines if l["what"] == "runs" and l["attempt"] == attempt]

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
            process.wait()
        self.record_file.close()
        shutil.rmtree(self.temp, ignore_errors=True)


class Answer:
    def __init__(self):
        self.status, self.fields, self.body = None, {}, b""
        self.complete, self.error = False, None

    def __str__(self):
        end = "complete" if self.complete else f"not complete ({self.error})"
        return f"status {self.status}, {len(self.body)} bytes, {end}"


def ask(site, daemon, attempt, path, method="GET", body=b"", wait_s=12.0, fields=None, sock=None):
    """Sends one request and reads its answer to the end; returns it, complete or not."""
    answer = Answer()
    head = {"Host": "site.example", "Attempt-Id": attempt, "Authorization": f"Token {KEY}",
            "Deadline-Remaining": str(int(wait_s * 1000)), **(fields or {})}
    if body or method == "POST":
        head["Content-Length"] = str(len(body))
    site.record(f"client sends {attempt} {method} {path} to {daemon['name']}")
    conn = http.client.HTTPConnection(*daemon["callers"], timeout=wait_s)
    try:
        conn.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
        for name, value in head.items():
            conn.putheader(name, value)
        conn.endheaders(body or None)
        response = conn.getresponse()
        answer.status = response.status
        answer.fields = {k.lower(): v for k, v in response.getheaders()}
        answer.body = response.read()
        answer.complete = True
    except http.client.IncompleteRead as e:
        answer.body, answer.error = e.partial, "cut"
    except (OSError, http.client.HTTPException) as e:
        answer.error = repr(e)
    finally:
        conn.close()
    site.record(f"client got {attempt}: {answer}")
    return answer


def main(folder, case):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    site = Site(folder)
    code = 2
    try:
        broken = case(site)
        for line in broken:
            site.record(f"broken: {line}")
            print(f"broken: {line}")
        code = 1 if broken else 0
        site.record(f"the rule {'was broken' if broken else 'held'}")
    except CannotRun as e:
        site.record(f"could not run: {e}")
        print(f"could not run: {e}")
    finally:
        site.end()
    print(f"exit {code}")
    sys.exit(code)
