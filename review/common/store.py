"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it.

Linearizable, keeps the whole history, and answers at once. It runs in the process of the case.
"""

import base64
import json
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def server_bind(self):
        # Without the library's lookup of the host's name, which may wait for a network.
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]


class Store:
    def __init__(self, host):
        self.changed = threading.Condition()
        self.revision = 10
        self.items = {}
        self.log = []
        self.leases = {}
        self.last_lease = 0
        # Watches that wait at this number or below are cut.
        self.cut_watches, self.last_watch = 0, 0
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

        self.server = Server((host, 0), Handler)
        self.address = "%s:%d" % self.server.server_address[:2]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes a key as the operator or a worker does; returns its revision."""
        with self.changed:
            return self._put(key, json.dumps(value).encode(), 0)

    def delete(self, key):
        with self.changed:
            if key in self.items:
                self._delete(key)

    def cut_waiting_watches(self):
        """Closes the connections of the watches that wait now, without an answer."""
        with self.changed:
            self.cut_watches = self.last_watch
            self.changed.notify_all()

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return json.loads(item["bytes"]) if item else None

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"bytes": value, "rev": self.revision, "created": created, "lease": lease}
        self.log.append((self.revision, key, dict(self.items[key])))
        self.changed.notify_all()
        return self.revision

    def _delete(self, key):
        self.revision += 1
        del self.items[key]
        self.log.append((self.revision, key, None))
        self.changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease in [l for l, (_, until) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._delete(key)

    @staticmethod
    def _wire(key, item):
        return {
            "key": key,
            "value": base64.b64encode(item["bytes"]).decode(),
            "revision": item["rev"],
            "creation-revision": item["created"],
            "lease-id": item["lease"],
        }

    def handle(self, req, method):
        url = urlsplit(req.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        length = int(req.headers.get("Content-Length") or 0)
        body = json.loads(req.rfile.read(length)) if length else {}
        with self.changed:
            self._expire()
            status, reply = self.answer(method, url.path, query, body)
        if status is None:
            req.close_connection = True
            return
        data = json.dumps(reply).encode()
        try:
            req.send_response(status)
            req.send_header("Content-Type", "application/json")
            req.send_header("Content-Length", str(len(data)))
            req.end_headers()
            req.wfile.write(data)
        except OSError:
            req.close_connection = True

    def answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**self._wire(query["key"], item), "at": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            page = keys[:PAGE_ITEMS]
            entries = [self._wire(k, self.items[k]) for k in page]
            return 200, {"entries": entries, "has-more": len(keys) > len(page), "at": self.revision}
        if path == "/v1/kv-watch":
            return self.watch(query)
        if path == "/v1/kv-txn":
            return self.txn(body)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = body["ttl-ms"]
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease-id": self.last_lease, "ttl-ms": ttl}
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/v1/kv-keep/") and number in self.leases:
            ttl, _ = self.leases[number]
            self.leases[number] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/v1/kv-lease-end/") and method == "DELETE" and number in self.leases:
            self._end_lease(number)
            return 200, {}
        return 404, {}

    def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query.get("wait-timeout-ms", 0)) / 1000
        self.last_watch += 1
        number = self.last_watch
        while True:
            if number <= self.cut_watches:
                return None, None
            events = []
            for revision, key, item in self.log:
                if revision > after and key.startswith(prefix):
                    gone = {"key": key, "revision": revision, "compacted": True}
                    events.append(self._wire(key, item) if item else gone)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            self.changed.wait(left)

    def txn(self, body):
        held = body.get("precondition", [])
        current = lambda key: self.items[key]["rev"] if key in self.items else 0
        if any(current(row["key"]) != row["revision"] for row in held):
            rows = [row["key"] for row in held if row["key"] in self.items]
            return 412, {"entries": [self._wire(k, self.items[k]) for k in rows]}
        for row in body.get("write", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease-id") and row["lease-id"] not in self.leases:
                return 404, {}
        for row in body.get("write", []):
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease-id") or 0)
        for key in body.get("delete", []):
            if key in self.items:
                self._delete(key)
        return 200, {"revision": self.revision}
