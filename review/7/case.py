"""One worker in seven fails part of its requests while it counts as healthy: it runs an order and
answers 503 itself, without saying that it hasn't run it."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit2"))

from case import TROUBLE, play
from deployment import Fleet, config, route, service
from standins import Store, Worker, read_body, request, send

DAEMONS = 3
WORKERS = 7
CLIENTS = 24
# The deployment's public application service gets 24.2 orders a second.
PAUSE_S = CLIENTS / 24.2
TRAFFIC_S = 30.0
# The largest dose: share 0.14 of the workers, 0.45 of their requests, for 6.5 s.
FAULTY_WORKERS = 1
FAILED_SHARE = 0.45
WINDOW = (8.0, 14.5)
DEADLINE_S = 1.5
PROMISES = (408, 421, 429, 503)


class App(Worker):
    """A worker of the application service."""

    def __init__(self, store, number, record, rng):
        super().__init__(store, f"i-app{number}", "app", slots=6)
        self.record, self.rng = record, rng
        self.is_faulty = False
        self.failed = set()

    async def run(self, head, reader, writer):
        body = await read_body(reader, head)
        attempt = head.get("Attempt-Id")
        self.note(head, body)
        self.record.line(f"{self.ident} runs {attempt} for order {body.decode()}")
        await asyncio.sleep(0.06)
        if self.is_faulty and self.rng.random() < FAILED_SHARE:
            self.failed.add(attempt)
            self.record.line(f"{self.ident} answers 503 to {attempt}, without Not-Executed")
            self.answer(writer, head, 503, b"a dependency failed")
        else:
            self.answer(writer, head, 200, b"receipt for " + body)
        await writer.drain()
        return True


async def main(record):
    rng = random.Random(7)
    store = Store()
    await store.start()
    workers = [App(store, n, record, rng) for n in range(1, WORKERS + 1)]
    for worker in workers:
        await worker.start()
    await store.put(
        "op/config",
        config(
            7,
            [route("receipt-issue", "/receipts/", "non_idempotent", "app", **{"timeout-ms": 800})],
            [service("app")],
        ),
    )
    fleet = Fleet(store, DAEMONS)
    answers = {}
    try:
        await fleet.start()
        began = time.monotonic()

        async def trouble():
            await asyncio.sleep(WINDOW[0])
            for worker in workers[:FAULTY_WORKERS]:
                worker.is_faulty = TROUBLE
            await asyncio.sleep(WINDOW[1] - WINDOW[0])
            for worker in workers:
                worker.is_faulty = False

        async def order(number, count):
            """Sends an order; after a promise that it hasn't run, once more, as clients do."""
            name = f"order-{number:02}-{count:04}"
            until = time.monotonic() + DEADLINE_S
            for attempt_number in (1, 2):
                attempt = f"c{number:02}n{count:04}a{attempt_number}"
                daemon = fleet.daemons[(number + count + attempt_number) % DAEMONS]
                left = until - time.monotonic()
                data = request("POST", "/receipts/x", attempt, name.encode(),
                               deadline_ms=int(left * 1000))
                answer = await send(daemon.callers, data, timeout=3.0)
                answers[attempt] = answer
                sign = answer.head.get("Server-Signature") if answer.head else None
                record.line(f"{name}, {attempt} to daemon {daemon.number}: {answer}, signature {sign}")
                if answer.status not in PROMISES:
                    return
                pause = float(answer.head.get("Retry-After") or 0)
                if pause > (until - time.monotonic()) / 3:
                    return
                await asyncio.sleep(pause)

        async def client(number):
            await asyncio.sleep(rng.random() * PAUSE_S)
            count = 0
            while time.monotonic() < began + TRAFFIC_S:
                count += 1
                await order(number, count)
                await asyncio.sleep(PAUSE_S * (0.5 + rng.random()))

        await asyncio.gather(trouble(), *[client(n) for n in range(CLIENTS)])
        await asyncio.sleep(2.0)
    finally:
        await fleet.stop()

    runs = [run for worker in workers for run in worker.runs]
    ran = {attempt for _, attempt, _, _ in runs}
    failed = {a for worker in workers for a in worker.failed}
    refused = sorted(a for a, answer in answers.items() if answer.status in PROMISES and a in ran)
    by_order = {}
    for _, attempt, _, body in runs:
        by_order.setdefault(body.decode(), []).append(attempt)
    twice = sorted(name for name, attempts in by_order.items() if len(attempts) > 1)
    record.say(f"{len(answers)} attempts, {len(ran)} run, {len(failed)} answered 503 by their worker "
               "after it had run them")
    record.say(f"REFUSED: {len(refused)} attempts ran and were answered 408, 421, 429 or 503: {refused}")
    record.say(f"orders that ran twice since their client believed that answer: {twice}")
    if len(answers) < 400 or (TROUBLE and not failed):
        raise RuntimeError("too little traffic, or no request failed")
    return not refused


play(main, HERE)
