"""A waiting watch is cut just before a worker's entry is removed."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from deployment import TROUBLE, CannotRun, ask, config, main, route  # noqa: E402

DRAIN_S = 2.0
# How long the leaving worker serves on after its entry was removed: drain-timeout-ms and a little.
SERVES_ON_S = 2.15
# Longer than stability-window-ms.
CALM_S = 4.0


def case(site):
    site.store.put("op/config", config(7, [
        route("book", "non_idempotent", "counter-app", **{"max-attempts": 1}),
    ], ["counter-app"]))
    site.worker("i-one", "counter-app")
    site.worker("i-two", "counter-app")
    first = site.daemon("frontend-1")
    site.daemon("frontend-2", seeds=[first["control"]])
    site.daemon("frontend-3", seeds=[first["control"]])
    site.wait_ready()
    time.sleep(CALM_S)
    stop = threading.Event()
    answers = {}

    def client(number):
        count = 0
        while not stop.is_set():
            attempt = f"c{number}-{count}"
            daemon = site.daemons[number % len(site.daemons)]
            answers[attempt] = ask(site, daemon, attempt, "/book/x?ms=100", method="POST")
            count += 1

    clients = [threading.Thread(target=client, args=(n,)) for n in range(6)]
    for thread in clients:
        thread.start()
    time.sleep(1.0)
    if TROUBLE:
        site.store.cut_waiting_watches()
        site.record("store  the watches that wait are cut")
    time.sleep(0.02)
    site.store.delete("servers/i-one")
    gone_at = time.time()
    site.record("store  servers/i-one is removed")
    time.sleep(gone_at + SERVES_ON_S - time.time())
    site.workers["i-one"].terminate()
    site.record("worker i-one exits")
    time.sleep(1.0)
    stop.set()
    for thread in clients:
        thread.join()
    runs = [line for line in site.lines if line["worker"] == "i-one" and line["what"] == "runs"]
    if not runs:
        raise CannotRun("i-one got no request")
    last = max(line["t"] for line in runs) - gone_at
    site.record(f"the last request reached i-one {last:.3f} s after its entry was removed")
    late = [line["attempt"] for line in runs if line["t"] - gone_at > DRAIN_S]
    for attempt in late:
        site.record(f"late: {attempt}, its client got {answers[attempt]}")
    if not late:
        return []
    lost = sum(answers[attempt].status != 200 for attempt in late)
    return [f"DRAIN: {len(late)} requests reached i-one over {DRAIN_S} s after it was gone, the last "
            f"one after {last:.3f} s; {lost} of them ran and were lost"]


main(HERE, case)
