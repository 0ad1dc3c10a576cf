"""Stand-in for one worker, in a process of its own.

It writes one JSON line to standard output for each thing that it does. A request says in its query
how it is to be served: `ms` (time from head to end), `framing` (length, chunked or close), `events`
(a stream of so many events) or else `bytes` (length of the body), `silent_after` and `silent_ms` (after
so many events of a stream nothing comes for so long).
"""

import argparse
import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

from worker_bytes import body_of

parser = argparse.ArgumentParser()
parser.add_argument("id")
parser.add_argument("address")
parser.add_argument("service")
# It is full: it keeps each request in its queue for so long and then says that it didn't run it.
parser.add_argument("--full-after-ms", type=float)
ARGS = parser.parse_args()
ID, SERVICE = ARGS.id, ARGS.service
HOST, PORT = ARGS.address.rsplit(":", 1)


def say(what, **fields):
    line = {"t": round(time.time(), 4), "worker": ID, "service": SERVICE, "what": what, **fields}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    fields = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return method, target, fields


async def serve(reader, writer):
    try:
        while await serve_one(reader, writer):
            pass
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def serve_one(reader, writer):
    method, target, fields = await read_head(reader)
    url = urlsplit(target)
    query = {k: v[0] for k, v in parse_qs(url.query).items()}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    if url.path == "/health":
        writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {ID}\r\nContent-Length: 0\r\n\r\n".encode())
        return True
    attempt = fields.get("attempt-id", "")
    if fields.get("expected-instance", ID) != ID:
        say("misdirected", attempt=attempt)
        head = f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {ID}\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        return True
    if ARGS.full_after_ms is not None:
        say("queues", attempt=attempt)
        await asyncio.sleep(ARGS.full_after_ms / 1000)
        say("rejects", attempt=attempt)
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        return True
    after = int(fields.get("last-event-id", 0))
    say("runs", attempt=attempt, method=method, target=target, tenant=fields.get("tenant-name"),
        model=fields.get("model-name"), after=after, body=len(body))
    ms, framing = float(query.get("ms", 20)), query.get("framing", "length")
    if "events" in query:
        count = int(query["events"])
        parts = [f"id: {i}\ndata: {attempt}-{i}\n\n".encode() for i in range(after + 1, count + 1)]
        kind = "text/event-stream"
    else:
        whole = body_of(attempt, int(query.get("bytes", 800)))
        half = len(whole) // 2
        parts, kind = [whole[:half], whole[half:]], "application/octet-stream"
    head = (f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nAttempt-Id: {attempt}\r\n"
            f"Server-Signature: sig-{ID}-{attempt}\r\nConfidence: 95\r\n")
    if framing == "length":
        head += f"Content-Length: {sum(map(len, parts))}\r\n"
    elif framing == "chunked":
        head += "Transfer-Encoding: chunked\r\n"
    else:
        head += "Connection: close\r\n"
    writer.write(head.encode() + b"\r\n")
    pause = ms / 1000 / max(1, len(parts))
    for number, part in enumerate(parts):
        if number:
            await asyncio.sleep(pause)
        if "silent_after" in query and after + number == int(query["silent_after"]):
            say("is silent", attempt=attempt)
            await asyncio.sleep(float(query["silent_ms"]) / 1000)
        writer.write(b"%x\r\n%s\r\n" % (len(part), part) if framing == "chunked" else part)
        await writer.drain()
    if framing == "chunked":
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    say("answered", attempt=attempt)
    return framing != "close"


async def main():
    server = await asyncio.start_server(serve, HOST, int(PORT))
    say("listens")
    async with server:
        await server.serve_forever()


asyncio.run(main())
