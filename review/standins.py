"""Stand-ins of the platform for the cases of this review: the metadata store, the promotion call, one
database group with three servers, and clients. Python's standard library only; loopback addresses only.

They follow PROTOCOL.md. Messages of the wire end with CR LF, and with nothing else. Where the pages are
silent the stand-ins behave like sound ones: replication takes a fixed time, a replica applies what it has
received after `lag`, a new primary has applied all that it has received.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import shutil
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPO = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROXY = os.path.join(REPO, "target/release/dandelionpitch")
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))


# ---------------------------------------------------------------- store


class Store:
    """The platform's metadata store: keys with revisions, leases, watches and conditional changes."""

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.next_lease = 77000
        self.promote = None

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.rev += 1
        self._write(key, value, lease)

    def _write(self, key, value, lease):
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
                "created": old["created"] if old else self.rev, "lease": lease}
        self.items[key] = item
        self.note(item)

    def delete(self, key):
        if key in self.items:
            self.rev += 1
            self._remove(key)

    def _remove(self, key):
        if self.items.pop(key, None):
            self.note({"key": key, "rev": self.rev, "removed": True})

    def expire(self):
        for lease, (until, _) in list(self.leases.items()):
            if until <= now():
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    def txn(self, body):
        for row in body.get("expect_rev") or []:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                wanted = [r["key"] for r in body["expect_rev"]]
                return 412, {"items": [self.items[k] for k in wanted if k in self.items]}
        writes = body.get("writes") or []
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        self.rev += 1
        for w in writes:
            self._write(w["key"], base64.b64decode(w["value"]), w.get("lease") or 0)
        for key in body.get("remove") or []:
            self._remove(key)
        return 200, {"rev": self.rev}

    async def call(self, method, path, query, body, headers):
        self.expire()
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, as_of=self.rev)) if item else (404, {})
        if path == "/v1/kv-range":
            found = [self.items[k] for k in sorted(self.items) if k.startswith(query.get("prefix", ""))
                     and k > query.get("after", "")]
            return 200, {"items": found, "has_more": False, "as_of": self.rev}
        if path == "/v1/kv-watch":
            after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.history if e["rev"] > after
                          and e["key"].startswith(query.get("prefix", ""))]
                if events or now() >= until:
                    return 200, {"events": events, "as_of": self.rev}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
                self.expire()
        if path == "/v1/kv-txn":
            return self.txn(body)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = body["ttl_ms"]
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/promote":
            return await self.promote(body, headers)
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = dict(h.lower().split(": ", 1) for h in head[1:] if ": " in h)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                code, answer = await self.call(method, url.path, query,
                                               json.loads(body) if body else {}, headers)
                await asyncio.sleep(0.004)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (code, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- servers


APPLIED = 0.0    # instead of the time at which an entry was received: it was written here, or led with


class Server:
    """One server of the group."""

    def __init__(self, group, id, zone, host):
        self.group, self.id, self.zone, self.host = group, id, zone, host
        self.role, self.term, self.held = "replica", 1, 0
        self.log = []            # (term, number, item, data, received at)
        self.state, self.seq, self.port, self.connections = "ready", 0, 0, 0
        self.deaf = False
        self.lag = group.lag
        self.writers = set()
        self.beats = 0
        self.born = int(time.time() * 1000) - 60000

    def end(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def applied(self):
        if self.role == "primary":
            return self.log
        limit = now() - self.lag
        done = []
        for entry in self.log:
            if entry[4] > limit:
                break
            done.append(entry)
        return done

    def applied_end(self):
        done = self.applied()
        return (done[-1][0], done[-1][1]) if done else (1, 0)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.host, 0, limit=1 << 22)
        self.port = self.listener.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.beat())

    def drain(self):
        """Reports that the server will leave."""
        self.state = "draining"
        self.register()
        self.group.record("server %s: draining" % self.id)

    def crash(self):
        """The server goes down and sends nothing. Its log is kept."""
        self.state = "gone"
        self.beats += 1
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.group.record("server %s: crashes, its log ends at %d.%d" % ((self.id,) + self.end()))

    async def start_again(self, empty, registers_s=0.0):
        """The server is back at its address: with its log, or, as another incarnation, with nothing."""
        if empty:
            self.role, self.term, self.log, self.seq = "replica", 1, [], 0
            self.born = int(time.time() * 1000)
        elif any(s.role == "primary" and s.term > self.term for s in self.group.servers):
            self.role = "replica"
        self.held = 0
        self.state = "ready"
        self.listener = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 22)
        self.group.record("server %s: is back as %s, %s" % (self.id, self.role, "empty" if empty else "with its log"))
        await asyncio.sleep(registers_s)
        asyncio.ensure_future(self.beat())

    def stop(self, left):
        """Ends the server for good. Its entry is removed when it has left, or after three heartbeats of silence."""
        self.state = "gone"
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.group.record("server %s: %s" % (self.id, "has left" if left else "is lost for good"))
        loop = asyncio.get_running_loop()
        loop.call_later(0 if left else 3.6, self.group.store.delete, "servers/" + self.id)

    async def beat(self):
        self.beats += 1
        number = self.beats
        while self.state != "gone" and number == self.beats:
            self.register()
            await asyncio.sleep(1.2)

    def register(self):
        self.seq += 1
        entry = {"service": self.group.service, "addr": "%s:%d" % (self.host, self.port), "zone": self.zone,
                 "version": "v1", "slots": 5, "state": self.state, "cold_left_ms": 0, "db_role": self.role,
                 "seq": self.seq}
        if self.group.tells_born:
            entry["born"] = self.born
        self.group.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        session = {"values": {}, "names": {}, "tx": None, "failed": False, "who": "?"}
        try:
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                answer = await self.handle(session, line)
                if answer is None:
                    break
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    def ready(self, session):
        state = "I" if session["tx"] is None else ("E" if session["failed"] else "T")
        return "READY %s %d.%d\r\n" % ((state,) + self.applied_end())

    async def handle(self, session, line):
        word, _, rest = line.partition(" ")
        if word == "START":
            parts = rest.split(" ")
            session["who"] = parts[1] if len(parts) > 1 else "?"
            if parts[0] != self.group.service or (len(parts) > 2 and parts[2] != self.id):
                return "ERR MOVED %s\r\n" % self.id
            return self.ready(session)
        if word != "QUERY":
            return None
        id, _, text = rest.partition(" ")
        verb = text.split(" ", 1)[0]
        if verb not in ("STATUS",):
            self.group.record("server %s: received id=%s text=%r values=%r" %
                              (self.id, id, text, session["values"]))
        result = await self.run(session, id, text)
        if isinstance(result, tuple):
            return "ERR %s %s\r\n" % result + self.ready(session)
        rows = "".join("ROW %s\r\n" % row for row in result)
        mac = "-" if id == "-" or verb in ("SET", "PREPARE", "RESET", "BEGIN", "ROLLBACK") else self.mac(id)
        return rows + "DONE %s\r\n" % mac + self.ready(session)

    def mac(self, id):
        return "%s.%s.mac" % (self.id, id)

    async def run(self, session, id, text):
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            at, _, text = rest.partition(" ")
            want = tuple(int(x) for x in at.split("."))
            if self.applied_end() < want:
                return "LAGGING", self.id
            verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return [self.command(verb, rest)]
        if verb == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return []
        if verb == "RESET":
            session["values"], session["names"] = {}, {}
            return []
        if verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            session["names"][name] = shape
            return []
        if verb == "DEALLOC":
            return [] if session["names"].pop(rest, None) else ("NOSTMT", rest)
        if verb == "ROLLBACK":
            session["tx"], session["failed"] = None, False
            return []
        if verb == "BEGIN":
            if rest != "FETCH" and self.role != "primary":
                return "READONLY", self.id
            session["tx"] = {"writes": [], "read_only": rest == "FETCH"}
            return []
        if session["failed"]:
            return "SYNTAX", "the transaction failed"
        if verb == "EXEC":
            name, _, rest = rest.partition(" ")
            if name not in session["names"]:
                return "NOSTMT", name
            verb = session["names"][name].split(" ")[0]
        await asyncio.sleep(0.002)
        tx = session["tx"]
        if tx and not tx["read_only"] and self.role != "primary" and not (verb == "COMMIT" and not tx["writes"]):
            session["failed"] = True
            return "READONLY", self.id
        if verb == "FETCH":
            self.group.ran(self, id, text, session)
            item = rest.split(" ")[0]
            mine = [d for i, d in (tx["writes"] if tx else []) if i == item]
            seen = [e[3] for e in self.applied() if e[2] == item]
            return [(mine or seen or ["-"])[-1]]
        if verb == "PUT":
            item, _, data = rest.partition(" ")
            if self.role != "primary":
                return "READONLY", self.id
            self.group.ran(self, id, text, session)
            if tx:
                tx["writes"].append((item, data))
                return []
            return await self.commit([(item, data)])
        if verb == "COMMIT":
            session["tx"] = None
            self.group.ran(self, id, text, session)
            return await self.commit(tx["writes"]) if tx and tx["writes"] else []
        return "SYNTAX", verb

    def command(self, verb, rest):
        term = int(rest) if rest else 0
        if verb == "PAUSE" and self.role == "replica" and term > self.term:
            self.held = term
        if verb == "RESUME":
            self.held = 0
        if verb == "STEPDOWN" and term > self.term and self.role == "primary":
            self.role = "replica"
            self.register()
        if verb != "STATUS":
            self.group.record("server %s: %s %s -> %s term %d held %d" %
                              (self.id, verb, rest, self.role, self.term, self.held))
        return "%s %d %d.%d %d %d 0 %d" % ((self.role, self.term) + self.end() +
                                           (self.held, int(self.lag * 1000), self.connections))

    async def commit(self, writes):
        for item, data in writes:
            self.log.append((self.term, self.end()[1] + 1, item, data, APPLIED))
        at, term = self.end(), self.term
        asyncio.ensure_future(self.replicate())
        while True:
            have = [s for s in self.group.servers if s is not self and s.state != "gone" and s.term == term
                    and s.end() >= at]
            if have:
                return []
            if self.role != "primary" or self.term != term:
                return "UNKNOWN", "the lead was lost"
            await asyncio.sleep(0.001)

    async def replicate(self):
        """Sends the log to the replicas; it arrives after the network's delay."""
        await asyncio.sleep(self.group.delay)
        if self.role != "primary" or self.state == "gone":
            return
        for other in self.group.servers:
            if other is self or other.deaf or other.held > self.term or other.term > self.term \
                    or other.state == "gone" or self.group.is_cut(self, other):
                continue
            if other.role == "primary":
                other.role = "replica"
                other.register()
            other.term, other.held = self.term, 0
            keep = 0
            while keep < len(other.log) and keep < len(self.log) and other.log[keep][:2] == self.log[keep][:2]:
                keep += 1
            other.log[keep:] = [entry[:4] + (now(),) for entry in self.log[keep:]]


class Group:
    """One database group: a primary and its replicas; `sync_replicas` is 1."""

    def __init__(self, store, record, service="ledger", lag=0.02, delay=0.001, prefix="i"):
        self.store, self.record, self.service, self.lag, self.delay = store, record, service, lag, delay
        self.servers, self.runs, self.cuts, self.prefix = [], [], set(), prefix
        store.promote = self.promote
        self.promote_s = 0.6
        self.tells_born = False
        self.promotions = []     # when, whom, and the data in its log

    def ran(self, server, id, text, session):
        self.runs.append((server.id, id, text, dict(session["values"])))
        self.record("server %s: runs id=%s text=%r values=%r" % (server.id, id, text, session["values"]))

    def is_cut(self, one, other):
        return frozenset((one.id, other.id)) in self.cuts

    def server(self, id):
        return next((s for s in self.servers if s.id == id), None)

    async def start(self, zones):
        for index, zone in enumerate(zones):
            self.servers.append(Server(self, "%s-%d" % (self.prefix, index), zone, "127.0.0.1"))
        self.servers[0].role = "primary"
        for server in self.servers:
            await server.start()

    async def join(self, zone):
        """A new server starts in place of one that will leave."""
        server = Server(self, "%s-%d" % (self.prefix, len(self.servers)), zone, "127.0.0.1")
        self.servers.append(server)
        await server.start()
        self.record("server %s: started in %s" % (server.id, zone))
        await self.primary().replicate()
        return server

    def primary(self):
        leading = [s for s in self.servers if s.role == "primary" and s.state != "gone"]
        return max(leading, key=lambda s: s.term, default=None)

    async def promote(self, body, headers):
        server = self.server(body["id"])
        self.record("platform: POST /promote %s by %s token %s" %
                    (body, headers.get("dandelionpitch-holder"), headers.get("dandelionpitch-fence-token")))
        if server is None or body["service"] != self.service or server.state == "gone":
            return 409, {}
        if self.primary() is server:
            return 200, {}
        asyncio.ensure_future(self.take_effect(server))
        return 200, {}

    async def take_effect(self, server):
        await asyncio.sleep(self.promote_s)
        if server.state == "gone":
            return
        server.term = max(s.term for s in self.servers) + 1
        server.role, server.held = "primary", 0
        server.log = [entry[:4] + (APPLIED,) for entry in server.log]
        for other in self.servers:
            other.held = 0
        self.promotions.append((now(), server.id, [entry[3] for entry in server.log]))
        self.record("server %s: leads term %d with %s" % (server.id, server.term, server.end()))
        server.register()
        await server.replicate()


# ---------------------------------------------------------------- proxies and clients


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def look_up(path, fields):
    value = fields
    for part in path.split("."):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return value


def fill(template, fields):
    """Fills in a template as DEPLOY.md says: sections, values, `{{.}}` and `{{,}}`."""
    def section(match):
        value, body = look_up(match[1], fields), match[2].lstrip("\n")
        if isinstance(value, list):
            parts = [body.replace("{{.}}", str(v)).replace("{{,}}", "," if i + 1 < len(value) else "")
                     for i, v in enumerate(value)]
            return "".join(parts)
        return body if value is not None and value is not False else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    value = lambda match: "" if look_up(match[1], fields) is None else str(look_up(match[1], fields))
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Proxy:
    """One process of the project: the command of the deploy file, and settings from its template with the
    figures of a small deployment."""

    def __init__(self, folder, id, zone, platform, record, host="127.0.0.1", config_apply_ms=3000):
        self.id, self.zone, self.record = id, zone, record
        self.listen, self.operator = ("%s:%d" % (host, free_port(host)) for _ in range(2))
        fields = {
            "node_name": id, "zone": zone, "ip": host,
            "listen": {"front": self.listen, "ready": self.operator, "ctl": "%s:%d" % (host, free_port(host))},
            "port_range": [free_port(host)], "platform": {"addr": platform},
            "cloud_api": {"addr": platform, "duty_per_s": 50.0}, "seeds": [],
            "limits": {"cpu_quota": 0.25, "link_mbps": 1000.0},
            "bounds": {"grace_s": 6, "config_apply_ms": config_apply_ms},
        }
        with open(os.path.join(REPO, "deploy/proxy.toml.template")) as template:
            text = fill(template.read(), fields)
        self.settings = os.path.join(folder, id + ".yaml")
        with open(self.settings, "w") as out:
            out.write(text)
        self.log = open(os.path.join(folder, id + ".log"), "ab")
        self.process = subprocess.Popen([PROXY, "--config", self.settings], cwd=REPO, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        record("proxy %s: started, pid %d, clients at %s" % (id, self.process.pid, self.listen))

    async def ready(self, limit=15):
        until = now() + limit
        while now() < until:
            try:
                host, port = self.operator.rsplit(":", 1)
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200" in line:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, name):
        self.record("proxy %s: %s" % (self.id, name))
        self.process.send_signal(getattr(signal, name))

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Client:
    """A session of a client."""

    serial = 0

    def __init__(self, record, name):
        self.record, self.name = record, name

    async def open(self, address, database):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        self.writer.write(b"START %s u1\r\n" % database.encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5)).decode().rstrip("\r\n")
        self.record("client %s: START %s -> %s" % (self.name, database, line))
        return line.startswith("READY")

    async def query(self, text, id=None, quiet=False):
        """Sends one statement; returns (rows, DONE or ERR line, READY line)."""
        if id is None:
            Client.serial += 1
            id = "%s%05d" % (self.name, Client.serial)
        if not quiet:
            self.record("client %s: sends id=%s text=%r" % (self.name, id, text))
        self.writer.write(("QUERY %s %s\r\n" % (id, text)).encode())
        rows, end = [], None
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 12)).decode()[:-2]
            if line.startswith("ROW "):
                rows.append(line[4:])
            elif line.startswith(("DONE", "ERR")):
                end = line
            elif line.startswith("READY"):
                if not quiet:
                    self.record("client %s: answer id=%s rows=%r %s / %s" % (self.name, id, rows, end, line))
                return rows, end, line

    def close(self):
        try:
            self.writer.close()
        except Exception:
            pass


def config(version, routes, service="ledger", tx_idle_ms=3000):
    """A configuration; `routes` are (host, kind, timeout, target, staleness)."""
    rows = []
    for index, (host, kind, timeout, target, stale) in enumerate(routes):
        row = {"name": "r-%d" % index, "host": host, "prefix": "/", "kind": kind, "timeout_ms": timeout,
               "target_latency_ms": target, "priority": 1, "service": service, "attempts": 2}
        if stale:
            row["max_staleness_ms"] = stale
        rows.append(row)
    return json.dumps({"version": version, "routes": rows, "services": [
        {"name": service, "health_path": "/healthz", "max_conns": 33, "protocol": "h1", "tls": False,
         "sync_replicas": 1}], "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                                          "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                                          "tx_idle_ms": tx_idle_ms}}).encode()


ROUTES = [("orders", "primary", 1000, 200, 0), ("history", "bounded", 3000, 800, 1500),
          ("dispatch", "session", 1000, 400, 2500)]


class Site:
    """A small deployment on loopback addresses: the store with the promotion call, database groups and proxies."""

    def __init__(self, record, folder):
        self.record, self.folder, self.proxies, self.groups = record, folder, [], []
        self.store = Store(record)

    async def start(self, services=("ledger",), lag=0.02, promote_s=0.6, tells_born=False, zones=None):
        self.http = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.platform = "127.0.0.1:%d" % self.http.sockets[0].getsockname()[1]
        for index, service in enumerate(services):
            group = Group(self.store, self.record, service, lag, prefix="ijk"[index])
            group.promote_s, group.tells_born = promote_s, tells_born
            await group.start(zones or ZONES)
            self.groups.append(group)

    def configure(self, value):
        self.store.put("op/config", value)
        self.record("operator: configuration acked, %s" % value.decode())

    async def start_proxies(self, zones, config_apply_ms=3000):
        for index, zone in enumerate(zones):
            self.proxies.append(Proxy(self.folder, "p%d" % (index + 1), zone, self.platform, self.record,
                                      config_apply_ms=config_apply_ms))
        for proxy in self.proxies:
            if not await proxy.ready():
                raise RuntimeError("proxy %s is not ready" % proxy.id)

    async def restart_proxies(self, down_s):
        """Kills all processes at once, and starts them again with the same settings."""
        old = self.proxies
        for proxy in old:
            proxy.signal("SIGKILL")
        for proxy in old:
            proxy.end()
        await asyncio.sleep(down_s)
        self.proxies = [Proxy(self.folder, proxy.id, proxy.zone, self.platform, self.record) for proxy in old]

    def end(self):
        for proxy in self.proxies:
            proxy.end()


LIMIT_S = 110
ZONES = ["riga-centrs", "riga-purvciems", "riga-imanta"]


def main(case):
    """Runs `case(site, trouble)`, which returns what broke the rule, or nothing. Exit code: 1 broken, 0 held,
    2 could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    scratch = tempfile.mkdtemp(prefix="dp-review-")
    site = Site(record, scratch)

    def finish(code, text):
        site.end()
        shutil.rmtree(scratch, ignore_errors=True)
        record(text)
        print(text, flush=True)
        os._exit(code)

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        for name in ("SIGTERM", "SIGINT", "SIGHUP"):
            loop.add_signal_handler(getattr(signal, name), finish, 2, "could not run: ended by %s" % name)
        # Also ends a case that would take too long. The process ends here, without waiting for open connections.
        loop.call_later(LIMIT_S, finish, 2, "could not run: not done after %d s" % LIMIT_S)
        try:
            broken = await case(site, trouble)
        except Exception as error:
            finish(2, "could not run: %r" % error)
        finish(1 if broken else 0, "BROKEN: %s" % broken if broken else "held")

    asyncio.run(run())
