"""A stand-in of the platform's metadata store (kv-key, kv-range, kv-watch, kv-txn, leases).

It keeps everything in memory and loses nothing that it has acknowledged. The operator and the
workers write with Store.put and Store.delete; calls of the system come over HTTP/1.1.
"""
import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE = 500


class Store:
    """The store's state and its HTTP server on a free loopback port."""

    def __init__(self):
        self.revision = 100
        self.items = {}  # key -> (value bytes, revision, creation revision, lease)
        self.log = []  # (revision, key, value or None, lease)
        self.leases = {}  # id -> end of the lease
        self.next_lease = 7000
        self.changed = threading.Condition()
        self.cuts = 0  # a watch that waits is cut when this changes
        self.calls = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.handle(self, "GET")

            def do_POST(self):
                store.handle(self, "POST")

            def do_DELETE(self):
                store.handle(self, "DELETE")

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire_leases, daemon=True).start()

    # The operator's and the workers' side.

    def put(self, key, value, lease=0):
        """Writes a key; the time of return is the acknowledgement."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        with self.changed:
            self.write(key, value, lease)
            self.changed.notify_all()
            return self.revision

    def delete(self, key):
        with self.changed:
            self.write(key, None, 0)
            self.changed.notify_all()
            return self.revision

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return None if item is None else item[0]

    def cut_watches(self):
        """Cuts every watch that waits now, without an answer."""
        with self.changed:
            self.cuts += 1
            self.changed.notify_all()

    # State; the lock is held.

    def write(self, key, value, lease):
        if value is None and key not in self.items:
            return
        self.revision += 1
        if value is None:
            del self.items[key]
        else:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
        self.log.append((self.revision, key, value, lease))

    def expire_leases(self):
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            with self.changed:
                ended = [lease for lease, (end, _) in self.leases.items() if now >= end]
                for lease in ended:
                    self.end_lease(lease)
                if ended:
                    self.changed.notify_all()

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.write(key, None, 0)

    # The system's side.

    def handle(self, http, method):
        self.calls += 1
        url = urlsplit(http.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        length = int(http.headers.get("Content-Length") or 0)
        body = json.loads(http.rfile.read(length)) if length else {}
        try:
            answer = self.answer(method, url.path, query, body)
        except BrokenPipeError:
            return
        if answer is None:
            http.close_connection = True
            return
        status, reply = answer
        data = json.dumps(reply).encode()
        try:
            http.send_response(status)
            http.send_header("Content-Type", "application/json")
            http.send_header("Content-Length", str(len(data)))
            http.end_headers()
            http.wfile.write(data)
        except OSError:
            http.close_connection = True

    def answer(self, method, path, query, body):
        if path == "/v1/kv-watch":
            return self.watch(query)
        with self.changed:
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"at": self.revision}
                return 200, {**self.shown(query["key"]), "at": self.revision}
            if path == "/v1/kv-range":
                after = query.get("after", "")
                keys = [k for k in self.items if k.startswith(query.get("prefix", ""))]
                keys = sorted(k for k in keys if k > after)
                entries = [self.shown(k) for k in keys[:PAGE]]
                return 200, {"entries": entries, "has-more": len(keys) > PAGE, "at": self.revision}
            if path == "/v1/kv-txn":
                return self.txn(body)
            if path == "/v1/kv-lease":
                self.next_lease += 1
                ttl = max(1000, min(int(body["ttl-ms"]), 600000))
                self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease-id": self.next_lease, "ttl-ms": ttl}
            lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
            if path.startswith("/v1/kv-keep/"):
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease-id": lease, "ttl-ms": ttl}
            if path.startswith("/v1/kv-lease-end/"):
                if lease not in self.leases:
                    return 404, {}
                self.end_lease(lease)
                self.changed.notify_all()
                return 200, {}
        return 404, {}

    def shown(self, key):
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "creation-revision": created,
            "lease-id": lease,
        }

    def txn(self, body):
        writes, deletes = body.get("write", []), body.get("delete", [])
        keys = [write["key"] for write in writes] + deletes
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        conditions = body.get("precondition", [])
        held = lambda key: self.items[key][1] if key in self.items else 0
        if any(held(row["key"]) != row["revision"] for row in conditions):
            present = [self.shown(row["key"]) for row in conditions if row["key"] in self.items]
            return 412, {"entries": present, "at": self.revision}
        if any(w.get("lease-id", 0) and w["lease-id"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.write(write["key"], value, write.get("lease-id", 0))
        for key in deletes:
            self.write(key, None, 0)
        self.changed.notify_all()
        return 200, {"revision": self.revision}

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        end = time.monotonic() + min(int(query.get("wait-timeout-ms", 0)), 30000) / 1000
        with self.changed:
            cuts = self.cuts
            while True:
                events = [e for e in self.log if e[0] > after and e[1].startswith(prefix)]
                left = end - time.monotonic()
                if self.cuts != cuts:
                    return None
                if events or left <= 0:
                    shown = [self.event(*event) for event in events]
                    return 200, {"events": shown, "at": max(self.revision, after)}
                self.changed.wait(left)

    @staticmethod
    def event(revision, key, value, lease):
        if value is None:
            return {"key": key, "revision": revision, "compacted": True}
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "creation-revision": revision,
            "lease-id": lease,
        }
