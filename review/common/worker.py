"""A worker's process: answers requests, and tells of its runs on standard output.

Its one argument is a JSON object: `name` is its id. The request's path says what it does:
  /.../plain/MS/BYTES       works MS ms and answers with BYTES bytes, with a length
  /.../unframed/MS/BYTES    the same without a length: the answer ends with its connection. The first
                            half is sent at once, the rest after MS ms
  /.../stream/EVENTS/MS/N   a stream of EVENTS events of N bytes, one each MS ms, in chunks
  /.../ustream/EVENTS/MS/N  the same without a length: the stream ends with its connection
  /.../pstream/EVENTS/MS/N/AFTER/SILENT
                            a stream that is preempted once: after its event AFTER nothing comes for
                            SILENT ms
With `full_after_ms`, it is full: it queues each request for so long and then rejects it.
"""
import json
import os
import socket
import sys
import threading
import time

SETTINGS = json.loads(sys.argv[1])
NAME = SETTINGS["name"]
LOCK = threading.Lock()


def tell(what, attempt, more=""):
    with LOCK:
        sys.stdout.write(json.dumps([time.monotonic(), what, attempt, more]) + "\n")
        sys.stdout.flush()


def body_of(attempt, size):
    """The body that belongs to one request."""
    text = f"{attempt} by {NAME}\n".encode()
    return (text * (size // len(text) + 1))[:size]


def serve(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with sock, sock.makefile("rb") as file:
        try:
            while serve_one(sock, file):
                pass
        except OSError:
            pass


def serve_one(sock, file):
    line = file.readline().decode()
    if not line:
        return False
    _, path, _ = line.split()
    fields = {}
    while True:
        line = file.readline().decode()
        if line in ("\r\n", ""):
            break
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    file.read(int(fields.get("content-length", 0)))
    if path == "/health":
        sock.sendall(f"HTTP/1.1 200 OK\r\nInstance-Id: {NAME}\r\nContent-Length: 0\r\n\r\n".encode())
        return True
    if path == "/v1/report":
        report = b'{"inference-phase":"combined","model-catalog":[],"busy":false}'
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(report) + report)
        return True
    attempt = fields.get("attempt-id", "")
    if fields.get("expected-instance", NAME) != NAME:
        answer = f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {NAME}\r\nContent-Length: 0\r\n\r\n"
        sock.sendall(answer.encode())
        return True
    if "full_after_ms" in SETTINGS:
        time.sleep(SETTINGS["full_after_ms"] / 1000)
        tell("rejects", attempt, path)
        sock.sendall(b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        return True
    tell("runs", attempt, path)
    base = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: {NAME}.{attempt}\r\n"
    words = path.strip("/").split("/")
    for kind in KINDS:
        if kind in words:
            numbers = [int(word) for word in words[words.index(kind) + 1 :]]
            keeps = KINDS[kind](sock, base, attempt, fields, *numbers)
            tell("answered", attempt)
            return keeps
    return False


def plain(sock, base, attempt, _, ms, size):
    time.sleep(ms / 1000)
    sock.sendall(f"{base}Content-Length: {size}\r\n\r\n".encode() + body_of(attempt, size))
    return True


def unframed(sock, base, attempt, _, ms, size):
    body = body_of(attempt, size)
    half = size // 2
    sock.sendall(f"{base}Connection: close\r\n\r\n".encode() + body[:half])
    time.sleep(ms / 1000)
    sock.sendall(body[half:])
    return False


def events(fields, count):
    first = int(fields.get("last-event-id", 0)) + 1
    return range(first, count + 1)


def event(attempt, number, size):
    return f"id: {number}\ndata: {attempt}-{number}-".encode() + b"x" * size + b"\n\n"


def stream(sock, base, attempt, fields, count, ms, size):
    sock.sendall(f"{base}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for number in events(fields, count):
        time.sleep(ms / 1000)
        data = event(attempt, number, size)
        sock.sendall(b"%x\r\n" % len(data) + data + b"\r\n")
    sock.sendall(b"0\r\n\r\n")
    return True


def pstream(sock, base, attempt, fields, count, ms, size, after, silent_ms):
    sock.sendall(f"{base}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for number in events(fields, count):
        time.sleep(ms / 1000)
        data = event(attempt, number, size)
        sock.sendall(b"%x\r\n" % len(data) + data + b"\r\n")
        if number == after:
            time.sleep(silent_ms / 1000)
    sock.sendall(b"0\r\n\r\n")
    return True


def ustream(sock, base, attempt, fields, count, ms, size):
    sock.sendall(f"{base}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode())
    for number in events(fields, count):
        time.sleep(ms / 1000)
        sock.sendall(event(attempt, number, size))
    return False


KINDS = {
    "plain": plain,
    "unframed": unframed,
    "stream": stream,
    "ustream": ustream,
    "pstream": pstream,
}


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", SETTINGS.get("port", 0)))
    listener.listen(128)
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


try:
    main()
except KeyboardInterrupt:
    os._exit(0)
