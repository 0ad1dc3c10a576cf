"""Clients that read slowly are reset before they have their answers."""
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import bench  # noqa: E402
from bench import BROKEN, HELD, TROUBLE  # noqa: E402

SERVICE = "dele69a"
CLIENTS = 6  # at each of the two daemons
DEADLINE_MS = 25000
EVENTS = 64
EVENT_BYTES = 150
# A slow client reads as much as this each time, with a fifth of a second between: 600 bytes a second.
SLOW_READ = 120
SLOW_PAUSE = 0.2
# Receive buffer of every client.
WINDOW = 4096


def read_stream(sock, slow, end):
    """Reads an answer until its last chunk; returns its bytes, whether it is whole, and the error."""
    data = b""
    while not data.endswith(b"\r\n0\r\n\r\n"):
        left = end - time.monotonic()
        if left <= 0:
            return data, False, "the client's deadline passed"
        sock.settimeout(left)
        try:
            part = sock.recv(SLOW_READ if slow else 65536)
        except OSError as error:
            return data, False, f"{type(error).__name__}: {error}"
        if not part:
            return data, False, "closed within the answer"
        data += part
        if slow:
            time.sleep(SLOW_PAUSE)
    return data, True, ""


def case(world):
    store, record = world.store, world.record
    worker = world.worker("i-1", SERVICE)
    worker.list()
    routes = [
        bench.route("stream", "/lohu930/", SERVICE, "streaming", DEADLINE_MS, 3000, 1),
        bench.route("plain", "/cufi504/", SERVICE, "idempotent", 5000, 1000, 2),
    ]
    store.put("op/config", bench.config(routes, [bench.plain_service(SERVICE)]))
    calm, stopped = world.daemons(2)
    time.sleep(4)  # stability-window-ms has passed since the daemons started
    ended = {}

    def client(daemon, attempt):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        sock.settimeout(5)
        sock.connect(("127.0.0.1", daemon.front))
        # The connection is kept: it has served another request before.
        sock.sendall(bench.head("GET", "/cufi504/plain/1/100", attempt + "-first", 5000))
        with sock.makefile("rb") as file:
            first = bench.read_answer(file)
        path = f"/lohu930/stream/{EVENTS}/50/{EVENT_BYTES}"
        sock.sendall(bench.head("POST", path, attempt, DEADLINE_MS))
        began = time.monotonic()
        record(f"client sends {attempt} to {daemon.name} on a kept connection ({first.status})")
        data, whole, error = read_stream(sock, TROUBLE, began + DEADLINE_MS / 1000)
        sock.close()
        ended[attempt] = whole
        record(
            f"client has {attempt} after {time.monotonic() - began:.1f} s: "
            f"{len(data)} bytes, whole {whole} {error}"
        )

    threads = []
    for number in range(CLIENTS):
        for daemon, name in ((calm, "calm"), (stopped, "stopped")):
            thread = threading.Thread(target=client, args=(daemon, f"{name}{number}"))
            threads.append(thread)
            thread.start()
    time.sleep(0.5)
    # Planned work for the second daemon's requests.
    record(f"{stopped.name} gets SIGTERM")
    stopped.process.terminate()
    for thread in threads:
        thread.join()

    answered = {told[2] for told in worker.told if told[1] == "answered"}
    lost = {attempt for attempt, whole in ended.items() if not whole and attempt in answered}
    at_calm = sorted(attempt for attempt in lost if attempt.startswith("calm"))
    at_stopped = sorted(lost - set(at_calm))
    record(f"the worker answered {len(answered & set(ended))} of {len(ended)} to the end")
    record(f"LOST at any time, on kept connections: {len(at_calm)} {at_calm}")
    record(f"LOST around planned work: {len(at_stopped)} {at_stopped}")
    if not TROUBLE and not all(ended.values()):
        raise bench.CouldNotRun("not all requests were answered without the disruption")
    return BROKEN if len(at_calm) > 3 or at_stopped else HELD


bench.run(case, FOLDER)
