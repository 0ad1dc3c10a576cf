"""Stand-ins for the platform's store and for workers, and a small HTTP client.

They do only what PROTOCOL.md says; a case overrides single hooks to bring a disruption about.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl, unquote, urlsplit

MAX_HEAD = 64 * 1024
PAGE_ITEMS = 500
HISTORY_ENTRIES = 10_000


class Head:
    """The first line and the fields of a message."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = []
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.fields.append((name.strip(), value.strip()))

    def get(self, name, default=None):
        for field, value in self.fields:
            if field.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])


async def read_head(reader):
    """Reads a head; None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if not e.partial:
            return None
        raise ConnectionError("ended within a head") from e
    return Head(raw)


async def read_chunks(reader):
    """Yields the chunks of a chunked body; raises if it ends early."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("ended within a chunked body")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, head):
    """Reads the body of a message; raises if it ends early."""
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    length = head.get("Content-Length")
    if length is not None:
        return await reader.readexactly(int(length))
    if head.first.startswith("HTTP/") and head.status not in (204, 304):
        return await reader.read()
    return b""


class Store:
    """The platform's metadata store, in memory."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.log = []
        self.compacted_to = 0
        self.leases = {}
        self.next_lease = 7000
        self.signal = asyncio.get_running_loop().create_future()
        self.calls = []
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        asyncio.create_task(self.expire())

    async def put(self, key, value, lease=0):
        """Writes an item, or deletes it if the value is None; returns the revision."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "compacted": True}
        else:
            if not isinstance(value, bytes):
                value = json.dumps(value).encode()
            created = self.items.get(key, {}).get("creation-revision", self.revision)
            event = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "creation-revision": created,
                "lease-id": lease,
            }
            self.items[key] = event
        self.log.append(event)
        del self.log[:-HISTORY_ENTRIES]
        self.signal.set_result(None)
        self.signal = asyncio.get_running_loop().create_future()
        return self.revision

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease-id"] == lease]:
            await self.put(key, None)
        return True

    async def before(self, method, path, query, body, writer):
        """Hook of a case: returns True if it has dealt with the call."""
        return False

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.first.split(" ", 2)
                body = await read_body(reader, head)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                if await self.before(method, url.path, query, body, writer):
                    return
                self.calls.append((time.monotonic(), method, url.path))
                status, answer = await self.call(method, url.path, query, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            return 200, self.range(query)
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return await self.txn(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"lease-id": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/v1/kv-lease-end/") and method == "DELETE":
            ended = await self.end_lease(int(path.rsplit("/", 1)[1]))
            return (200, {}) if ended else (404, {})
        return 404, {}

    def range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        return {"entries": page, "has-more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(int(query["wait-timeout-ms"]), 30_000) / 1e3
        while True:
            if after < self.compacted_to:
                return 410, {}
            events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            signal = self.signal
            try:
                await asyncio.wait_for(asyncio.shield(signal), left)
            except asyncio.TimeoutError:
                pass

    async def txn(self, txn):
        for row in txn.get("precondition", []):
            held = self.items.get(row["key"], {}).get("revision", 0)
            if held != row["revision"]:
                rows = [self.items.get(r["key"]) for r in txn["precondition"]]
                return 412, {"entries": [r for r in rows if r]}
        for write in txn.get("write", []):
            lease = write.get("lease-id") or 0
            if lease and lease not in self.leases:
                return 404, {}
        revision = self.revision
        for write in txn.get("write", []):
            value = base64.b64decode(write["value"])
            revision = await self.put(write["key"], value, write.get("lease-id") or 0)
        for key in txn.get("delete", []):
            revision = await self.put(key, None)
        return 200, {"revision": revision}


class Worker:
    """A worker of a plain service; it registers itself and serves one request at a time on a
    connection."""

    HEARTBEAT = 1.2

    def __init__(self, store, ident, service, zone="zone-a", version="v1", slots=6):
        self.store, self.ident, self.service = store, ident, service
        self.zone, self.version, self.slots = zone, version, slots
        self.runs = []
        self.address = None
        self.state = "ready"
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, limit=MAX_HEAD, backlog=256
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        await self.register()

    async def register(self):
        await self.store.put(
            f"servers/{self.ident}",
            {
                "service": self.service,
                "address": self.address,
                "availability-zone": self.zone,
                "version": self.version,
                "capacity-slots": self.slots,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence-number": 1,
            },
        )

    def signature(self, attempt):
        return f"{self.ident}.{attempt}"

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.request(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def request(self, head, reader, writer):
        """Serves a request; false closes the connection."""
        if head.get("Expected-Instance", self.ident) != self.ident:
            await read_body(reader, head)
            self.answer(writer, head, 421, b"", f"Instance-Id: {self.ident}\r\n", signed=False)
            return True
        return await self.run(head, reader, writer)

    async def run(self, head, reader, writer):
        body = await read_body(reader, head)
        self.note(head, body)
        await asyncio.sleep(0.02)
        self.answer(writer, head, 200, b"done by " + self.ident.encode())
        await writer.drain()
        return True

    def note(self, head, body):
        """Records that this worker began to work on a request."""
        self.runs.append((time.monotonic(), head.get("Attempt-Id"), head, body))

    def answer(self, writer, head, status, body, fields="", signed=True):
        attempt = head.get("Attempt-Id", "")
        sign = f"Server-Signature: {self.signature(attempt)}\r\n" if signed else ""
        writer.write(
            f"HTTP/1.1 {status} X\r\nAttempt-Id: {attempt}\r\n{sign}{fields}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )


class Answer:
    """What a client got: a status and a body, or why there is none."""

    def __init__(self, status=None, head=None, body=b"", broken=None):
        self.status, self.head, self.body, self.broken = status, head, body, broken

    def __repr__(self):
        return f"{self.status if self.status else 'none'}{' ' + self.broken if self.broken else ''}"


async def send(address, data, timeout=10.0, connection=None):
    """Sends a request and reads its answer, on a new connection unless one is given."""
    try:
        if connection is None:
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
        else:
            reader, writer = connection
        try:
            writer.write(data)
            head = await asyncio.wait_for(read_head(reader), timeout)
            if head is None:
                return Answer(broken="closed without an answer")
            try:
                body = await asyncio.wait_for(read_body(reader, head), timeout)
            except (ConnectionError, asyncio.IncompleteReadError) as e:
                return Answer(head.status, head, broken=f"cut in its body: {e}")
            return Answer(head.status, head, body)
        finally:
            if connection is None:
                writer.close()
    except asyncio.TimeoutError:
        return Answer(broken="no answer in time")
    except (OSError, asyncio.IncompleteReadError) as e:
        return Answer(broken=f"{type(e).__name__}: {e}")


def request(method, path, attempt, body=b"", fields=(), host="shop.example", deadline_ms=5000):
    """Encodes a request as a client sends it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Remaining: {deadline_ms}",
        *fields,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
