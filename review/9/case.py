"""A roll-out to a bad version is replaced by an order for a good one before it is decided."""

import asyncio
import base64
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit2"))

from case import TROUBLE, play
from deployment import BOUNDS, Fleet, config, route, service
from standins import Store, Worker, read_body, request, send

DAEMONS = 3
WORKERS = 4
CLIENTS = 24
# The deployment's public application service gets 24.2 orders and 9.64 look-ups a second.
PAUSE_S = CLIENTS / (24.2 + 9.64)
ORDERS = 24.2 / (24.2 + 9.64)
# The bad version fails half of its requests from its start on, as the site files have it.
BAD_SHARE = 0.5
ROLLOUT_S = 16
BAD_ORDER_AT_S = 6.0
# The operator orders the repaired version so long after the bad one.
NEXT_ORDER_AFTER_S = 2.0
# With BACK=1 the operator orders the old version back instead, whose workers still run.
NEXT_VERSION = "v1" if os.environ.get("BACK") == "1" else "v3"
TRAFFIC_S = 45.0


class App(Worker):
    """A worker of the application service, in one version."""

    def __init__(self, store, ident, version, record, rng):
        super().__init__(store, ident, "app", version=version, slots=6)
        self.record, self.rng = record, rng
        self.arrivals, self.bad_answers = [], []

    async def run(self, head, reader, writer):
        self.arrivals.append(time.monotonic())
        body = await read_body(reader, head)
        attempt = head.get("Attempt-Id")
        self.note(head, body)
        await asyncio.sleep(0.06)
        is_bad = self.version == "v2" and self.rng.random() < BAD_SHARE
        status = 500 if is_bad else 200
        if is_bad:
            self.bad_answers.append(time.monotonic())
        self.record.line(f"{self.ident} ({self.version}) runs {attempt}: {status}")
        self.answer(writer, head, status, b"receipt")
        await writer.drain()
        return True

    async def stop(self):
        self.server.close()
        await self.store.put(f"servers/{self.ident}", None)


async def main(record):
    rng = random.Random(9)
    store = Store()
    await store.start()
    workers = []

    async def start_workers(version):
        for n in range(1, WORKERS + 1):
            worker = App(store, f"i-{version}-{n}", version, record, rng)
            workers.append(worker)
            await worker.start()

    await start_workers("v1")
    times = {"timeout-ms": 800}
    await store.put(
        "op/config",
        config(
            7,
            [
                route("receipt-issue", "/receipts/", "non_idempotent", "app", **times),
                route("list-lookup", "/lists/", "idempotent", "app", **{**times, "max-attempts": 2}),
            ],
            [service("app")],
        ),
    )
    fleet = Fleet(store, DAEMONS)
    sent, answers, ordered = [], {}, {}
    try:
        await fleet.start()
        began = time.monotonic()

        async def order(version):
            record.line(f"the operator orders {version} within {ROLLOUT_S} s")
            await store.put("op/rollout/app", {"service": "app", "to": version, "duration-s": ROLLOUT_S})
            ordered[version] = time.monotonic()
            if version != "v1":
                await start_workers(version)

        async def operator():
            await asyncio.sleep(BAD_ORDER_AT_S)
            await order("v2")
            if TROUBLE:
                await asyncio.sleep(NEXT_ORDER_AFTER_S)
                await order(NEXT_VERSION)

        async def platform():
            """Stops the old workers at `completed`, and the new ones 3 s after `reverted`."""
            seen = None
            while time.monotonic() < began + TRAFFIC_S:
                item = store.items.get("status/rollout/app")
                if item and item["revision"] != seen:
                    seen = item["revision"]
                    status = json.loads(base64.b64decode(item["value"]))
                    record.say(f"status: {status}")
                    if status["state"] == "completed":
                        for worker in [w for w in workers if w.version != status["to"]]:
                            await worker.stop()
                    if status["state"] == "reverted":
                        await asyncio.sleep(3.0)
                        for worker in [w for w in workers if w.version == status["to"]]:
                            worker.state = "draining"
                            await worker.register()
                await asyncio.sleep(0.02)

        async def client(number):
            await asyncio.sleep(rng.random() * PAUSE_S)
            count = 0
            while time.monotonic() < began + TRAFFIC_S:
                count += 1
                attempt = f"c{number:02}n{count:04}"
                daemon = fleet.daemons[(number + count) % DAEMONS]
                if rng.random() < ORDERS:
                    data = request("POST", "/receipts/x", attempt, b"o" * 600, deadline_ms=1500)
                else:
                    data = request("GET", "/lists/x", attempt, deadline_ms=1500)
                sent.append(time.monotonic())
                answers[attempt] = await send(daemon.callers, data, timeout=3.0)
                record.line(f"{attempt} to daemon {daemon.number}: {answers[attempt]}")
                await asyncio.sleep(PAUSE_S * (0.5 + rng.random()))

        await asyncio.gather(operator(), platform(), *[client(n) for n in range(CLIENTS)])
    finally:
        await fleet.stop()

    begin = ordered["v2"]
    end = begin + ROLLOUT_S
    arrivals = [(t, w.version) for w in workers for t in w.arrivals]
    to_service = sum(begin <= t < end for t, _ in arrivals)
    to_bad = sum(begin <= t < end for t, version in arrivals if version == "v2")
    allowed = BOUNDS["exposure-fraction"] * to_service + BOUNDS["exposure-allowance"]
    record.say(f"EXPOSURE: of {to_service} requests that reached the service in the {ROLLOUT_S} s after the "
               f"order, the bad version got {to_bad} (allowed: {allowed:.0f})")
    bad = sorted(t for w in workers for t in w.bad_answers)
    late = []
    if len(bad) >= 50:
        limit = bad[49] + BOUNDS["rollback-timeout-ms"] / 1e3
        late = [t for t, version in arrivals if version == "v2" and t > limit]
    record.say(f"EXPOSURE: {len(bad)} bad answers; {len(late)} requests reached the bad version later than "
               "5 s after the 50th")
    failed = sum(a.status == 500 for a in answers.values())
    record.say(f"{len(answers)} requests of clients, {failed} answered 500")
    if to_service < 400:
        raise RuntimeError("too little traffic")
    return to_bad <= allowed and not late


play(main, HERE)
