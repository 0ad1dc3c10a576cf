"""All daemons are killed at one moment and started again just after a change of the configuration,
while a replica of the store that is two seconds behind serves a part of their first reads."""

import asyncio
import copy
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit2"))

from case import TROUBLE, play
from deployment import BOUNDS, Fleet, config, route, service
from standins import Store, Worker, read_body, request, send

DAEMONS = 6
WORKERS = 4
# Items of one page of a listing: the page of the store says "at most about 500 items or 1 MB".
PAGE_ITEMS = 8
# "With serializable-read = 1, a read [...] may be seconds old."
BEHIND_S = 2.5
SETTLED_S = 8.0
DOWN_S = 0.5
WATCHED_S = 15.0


class TwoReplicas(Store):
    """The store. Of the reads that may be old, those of a listing's first page are served by a replica
    that is behind, all others by one that isn't. `at` is the store's revision in all answers."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.history = []

    async def put(self, key, value, lease=0):
        revision = await super().put(key, value, lease)
        self.history.append((time.monotonic(), copy.copy(self.items)))
        del self.history[:-500]
        return revision

    def items_as_of(self, moment):
        held = [items for at, items in self.history if at <= moment]
        return held[-1] if held else {}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        items, replica = self.items, "current"
        if query.get("serializable-read") == "1":
            if prefix == "" and not after:
                items = self.items_as_of(time.monotonic() - BEHIND_S)
                replica = f"{BEHIND_S} s behind"
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = [items[k] for k in keys[:PAGE_ITEMS]]
        revisions = {item["key"]: item["revision"] for item in page}
        self.record.line(f"kv-range {query} by a replica that is {replica}: at {self.revision}, {revisions}")
        return {"entries": page, "has-more": len(keys) > PAGE_ITEMS, "at": self.revision}


class App(Worker):
    def __init__(self, store, ident, name, record):
        super().__init__(store, ident, name, slots=6)
        self.record = record

    async def run(self, head, reader, writer):
        body = await read_body(reader, head)
        self.note(head, body)
        self.record.line(f"{self.ident} of {self.service} runs {head.get('Attempt-Id')}")
        await asyncio.sleep(0.02)
        self.answer(writer, head, 200, self.service.encode())
        await writer.drain()
        return True


def configuration(version, target, more=()):
    routes = [route("lists", "/lists/", "idempotent", target, **{"max-attempts": 2}), *more]
    return config(version, routes, [service("old-app"), service("new-app")])


async def main(record):
    store = TwoReplicas(record)
    await store.start()
    for name in ("old-app", "new-app"):
        for n in range(1, WORKERS + 1):
            await App(store, f"i-{name}-{n}", name, record).start()
    await store.put("op/config", configuration(7, "old-app"))
    fleet = Fleet(store, DAEMONS)
    stale, refused, served = [], [], 0
    try:
        await fleet.start()
        await asyncio.sleep(SETTLED_S)

        added = route("added", "/added/", "idempotent", "new-app", **{"max-attempts": 2})
        revision = await store.put("op/config", configuration(9, "new-app", [added]))
        acked = time.monotonic()
        record.say(f"version 9 is acknowledged at revision {revision}: /lists/ moves to new-app, /added/ is new")
        await asyncio.sleep(0.3)
        late = App(store, "i-new-app-9", "new-app", record)
        await late.start()
        record.line("a worker of new-app is added")
        if TROUBLE:
            await asyncio.gather(*[daemon.kill() for daemon in fleet.daemons])
            record.say("all daemons are killed")
            await asyncio.sleep(DOWN_S)
            # "All machines start within 0.3 s of each other, in any order": here the seeds come last.
            for daemon in reversed(fleet.daemons):
                await daemon.start()
                await asyncio.sleep(0.04)
            record.line("all daemons are started again")
        started = time.monotonic()
        await fleet.wait_ready()

        # In touch: `stability-window-ms` after its start; `config-propagation-ms` after the acknowledgement.
        judged_from = max(
            started + 1.0 + BOUNDS["stability-window-ms"] / 1e3,
            acked + BOUNDS["config-propagation-ms"] / 1e3,
        )
        await asyncio.sleep(max(0, judged_from - time.monotonic()))
        count = 0
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            for daemon in fleet.daemons:
                for path in ("/lists/x", "/added/x"):
                    count += 1
                    attempt = f"n{count:05}"
                    answer = await send(daemon.callers, request("GET", path, attempt), timeout=3.0)
                    record.line(f"{path} {attempt} to daemon {daemon.number}: {answer} {answer.body.decode()}")
                    if answer.status == 404:
                        refused.append((daemon.number, attempt))
                    elif answer.body == b"old-app":
                        stale.append((daemon.number, attempt))
                    else:
                        served += 1
            await asyncio.sleep(0.2)
        for daemon in fleet.daemons:
            state = await daemon.state()
            record.say(f"daemon {daemon.number} at the end: version {state['table_version']}, "
                       f"last known to be current {state['proven_ms']} ms ago")
    finally:
        await fleet.stop()
    record.say(f"CONFIG: {len(stale)} requests run by the service that version 9 took them from, by daemons "
               f"{sorted({d for d, _ in stale})}")
    record.say(f"CONFIG: {len(refused)} requests refused with 404 though version 9 has their route, by daemons "
               f"{sorted({d for d, _ in refused})}")
    record.say(f"{served} requests handled as version 9 has it")
    if served < 100:
        raise RuntimeError("too little was served")
    return not stale and not refused


play(main, HERE)
