"""Stand-ins for the cases of the second review: the platform's store and promotion call, a database
group and clients, by PROTOCOL.md. Everything listens on 127.0.0.1.

Faults act on single connections: `silence` makes an open connection go silent for good, without a reset,
while new ones work (DEPLOY.md, "How these days are played", Clocks).
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"


def now():
    return time.monotonic()


class Record:
    """The record of a run, one line an event."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", buffering=1)

    def __call__(self, who, text):
        self.file.write(f"{(now() - self.start) * 1000:9.1f} ms  {who:<10} {text}\n")


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Connection:
    """One accepted connection. A silent one is neither read nor written any more, nor closed."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.port = writer.get_extra_info("peername")[1]
        self.silent = False
        self.open = True

    def write(self, data):
        if not self.silent:
            self.writer.write(data)

    def close(self):
        self.open = False
        if not self.silent:
            self.writer.close()

    def belongs_to(self, pid):
        """Whether the process `pid` holds the other end."""
        own = self.writer.get_extra_info("sockname")[1]
        inode = None
        with open("/proc/net/tcp") as table:
            for line in table:
                parts = line.split()
                if len(parts) > 9 and parts[1].endswith(f":{self.port:04X}") and parts[2].endswith(f":{own:04X}"):
                    inode = parts[9]
        if inode is None:
            return False
        folder = f"/proc/{pid}/fd"
        for name in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return True
            except OSError:
                pass
        return False


class Listener:
    """Accepts connections and remembers the open ones."""

    def __init__(self):
        self.connections = set()
        self.server = None
        self.port = None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.accept, HOST, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            await self.serve(connection)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            # The other end of a silent connection sees neither data nor an end.
            if not connection.silent:
                self.connections.discard(connection)
                connection.close()

    def silence(self, pid):
        """Makes the open connections of a process go silent; returns how many."""
        mine = [c for c in self.connections if not c.silent and c.belongs_to(pid)]
        for connection in mine:
            connection.silent = True
        return len(mine)


class Store(Listener):
    """The platform's store, with the promotion call on the same port."""

    def __init__(self, record, answer_s=0.004):
        super().__init__()
        self.record, self.answer_s = record, answer_s
        self.items, self.events, self.leases = {}, [], {}
        self.rev, self.last_lease = 100, 0
        self.changed = asyncio.Event()
        self.promote = None
        # The last machine that called for a promotion.
        self.holder = None

    def put(self, key, value, lease=0, rev=None):
        self.rev = rev or self.rev + 1
        created = self.items[key]["created"] if key in self.items else self.rev
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
                "created": created, "lease": lease}
        self.items[key] = item
        self.note(dict(item))

    def remove(self, key, rev=None):
        if self.items.pop(key, None) is not None:
            self.rev = rev or self.rev + 1
            self.note({"key": key, "rev": self.rev, "removed": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [one for one, (_, until) in self.leases.items() if until < now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, connection):
        while True:
            head = (await connection.reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = head.split("\r\n")
            method, target, _ = first.split(" ")
            headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines if line)}
            body = await connection.reader.readexactly(int(headers.get("content-length", 0)))
            if connection.silent:
                return
            url = urlsplit(target)
            query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
            await asyncio.sleep(self.answer_s)
            status, answer = await self.handle(method, url.path, query, json.loads(body) if body else {}, headers)
            data = json.dumps(answer).encode()
            connection.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await connection.writer.drain()

    async def handle(self, method, path, query, body, headers):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.rev}) if item else (404, {"as_of": self.rev})
        if path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after")
            keys = sorted(k for k in self.items if k.startswith(prefix) and (after is None or k > after))
            return 200, {"items": [self.items[k] for k in keys[:500]], "has_more": len(keys) > 500, "as_of": self.rev}
        if path == "/v1/kv-watch":
            return 200, await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-txn":
            return self.transact(body)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.last_lease] = (ttl, now() + ttl)
            return 200, {"lease": self.last_lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1]) if path.startswith(("/v1/kv-keep/", "/v1/kv-lease-end/")) else None
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        if path == "/promote":
            self.holder = headers.get("dandelionpitch-holder")
            self.record("platform", f"promote {body} holder {headers.get('dandelionpitch-holder')} "
                                    f"token {headers.get('dandelionpitch-fence-token')}")
            return await self.promote(body["service"], body["id"])
        return 404, {}

    async def watch(self, prefix, after, wait):
        until = now() + wait
        while True:
            events = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return {"events": events, "as_of": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        expected = body.get("expect_rev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                current = [self.items[r["key"]] for r in expected if r["key"] in self.items]
                return 412, {"items": current}
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in body.get("writes", [])):
            return 404, {}
        rev = self.rev + 1
        for write in body.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0), rev)
        for key in body.get("remove", []):
            self.remove(key, rev)
        return 200, {"rev": self.rev}


class Server(Listener):
    """One database server. Its log holds (term, number, item, data, when received)."""

    def __init__(self, group, name, zone):
        super().__init__()
        self.group, self.name, self.zone = group, name, zone
        self.primary, self.term, self.held, self.log = False, 1, 0, []
        self.draining = False
        # How much longer it says that it is slow after its start.
        self.cold_left_ms = 0
        self.seq = 0

    def register(self):
        entry = {"service": self.group.service, "addr": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": 5, "state": "draining" if self.draining else "ready", "cold_left_ms": self.cold_left_ms,
                 "db_role": "primary" if self.primary else "replica", "seq": self.seq}
        self.group.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def received(self):
        return self.log[-1][:2] if self.log else (1, 0)

    def applied(self):
        """The entries that reads see: a primary's all, a replica's once its lag has passed."""
        if self.primary:
            return self.log
        count = len(self.log)
        while count and self.log[count - 1][4] + self.group.lag_s > now():
            count -= 1
        return self.log[:count]

    def applied_position(self):
        entries = self.applied()
        return entries[-1][:2] if entries else (1, 0)

    async def serve(self, connection):
        state = {"tx": None, "values": {}, "names": {}}
        first = (await connection.reader.readuntil(b"\r\n")).decode().rstrip("\r\n").split(" ")
        if first[0] != "START" or first[1] != self.group.service or (len(first) > 3 and first[3] != self.name):
            connection.write(f"ERR MOVED {self.name}\r\n".encode())
            return
        await asyncio.sleep(self.group.open_s)
        connection.write(self.ready(state).encode())
        while True:
            line = (await connection.reader.readuntil(b"\r\n")).decode()[:-2]
            if connection.silent or not line.startswith("QUERY "):
                return
            _, key, text = line.split(" ", 2)
            answer = await self.run(connection, state, key, text)
            connection.write((answer + self.ready(state)).encode())
            await connection.writer.drain()

    def ready(self, state):
        letter = "I" if state["tx"] is None else "T"
        term, number = self.applied_position()
        return f"READY {letter} {term}.{number}\r\n"

    async def run(self, connection, state, key, text):
        verb, _, rest = text.partition(" ")
        record = self.group.record
        if verb == "AFTER":
            position, _, text = rest.partition(" ")
            term, number = position.split(".")
            verb, _, rest = text.partition(" ")
            if self.applied_position() < (int(term), int(number)):
                return f"ERR LAGGING {self.name}\r\n"
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return await self.command(connection, verb, rest)
        if verb == "FETCH":
            await asyncio.sleep(self.group.work_s)
            data = [entry[3] for entry in self.applied() if entry[2] == rest]
            value = data[-1] if data else "-"
            if key != "-":
                record(self.name, f"runs {key} FETCH {rest} -> {value} as {self.role()} at {self.applied_position()}")
            return f"ROW {value}\r\nDONE {self.name}.{key}\r\n"
        if verb == "PUT":
            await asyncio.sleep(self.group.work_s)
            if not self.primary:
                return f"ERR READONLY {self.name}\r\n"
            item, _, data = rest.partition(" ")
            position = self.group.append(self, item, data)
            record(self.name, f"runs {key} PUT {rest} at {position}")
            if not await self.group.wait_for_replica(self, position):
                return f"ERR UNKNOWN {self.name}\r\n"
            return f"DONE {self.name}.{key}\r\n"
        if verb == "BEGIN":
            if not rest and not self.primary:
                return f"ERR READONLY {self.name}\r\n"
            state["tx"] = []
        elif verb in ("COMMIT", "ROLLBACK"):
            state["tx"] = None
        return "DONE -\r\n"

    def role(self):
        return "primary" if self.primary else "replica"

    async def command(self, connection, verb, rest):
        await asyncio.sleep(0.001)
        term = int(rest) if rest else 0
        if verb == "PAUSE" and not self.primary and term > self.term:
            self.held = term
        elif verb == "RESUME":
            self.held = 0
        elif verb == "STEPDOWN" and self.primary and term > self.term:
            self.primary = False
            self.register()
        if verb != "STATUS":
            self.group.record(self.name, f"{verb} {rest}")
        last, number = self.received()
        return f"ROW {self.role()} {self.term} {last}.{number} {self.held} 0 0 {len(self.connections)}\r\nDONE -\r\n"


class Group:
    """The servers of one service. The first is the primary."""

    def __init__(self, record, store, service, zones, lag_s, promote_s, work_s=0.004, open_s=0.012, net_s=0.001):
        self.record, self.store, self.service = record, store, service
        self.lag_s, self.promote_s, self.work_s, self.open_s, self.net_s = lag_s, promote_s, work_s, open_s, net_s
        self.servers = [Server(self, f"i-{service}-{i}", zone) for i, zone in enumerate(zones)]
        self.servers[0].primary = True
        # How many servers there have been, as an id is never used again.
        self.started = len(self.servers)

    async def start(self):
        for server in self.servers:
            await server.listen()
            server.register()

    async def add(self, zone):
        """Starts a new replica, which gets the primary's log."""
        self.started += 1
        server = Server(self, f"i-{self.service}-{self.started - 1}", zone)
        self.servers.append(server)
        server.cold_left_ms = 4000
        await server.listen()
        self.replicate()
        server.register()
        self.record(server.name, "starts and registers")
        return server

    def server(self, name):
        return next(s for s in self.servers if s.name == name)

    def append(self, primary, item, data):
        term, number = primary.term, primary.received()[1] + 1
        primary.log.append((term, number, item, data, 0.0))
        asyncio.get_running_loop().call_later(self.net_s, self.replicate)
        return term, number

    def replicate(self):
        """Brings each replica that accepts it up to the newest primary's log."""
        leaders = [s for s in self.servers if s.primary]
        if not leaders:
            return
        primary = max(leaders, key=lambda s: s.term)
        for replica in self.servers:
            if replica is primary or replica.primary or replica.term > primary.term or replica.held > primary.term:
                continue
            if replica.term != primary.term:
                self.record(replica.name, f"follows {primary.name} in term {primary.term}")
            replica.term = primary.term
            same = 0
            while same < min(len(replica.log), len(primary.log)) and replica.log[same][:2] == primary.log[same][:2]:
                same += 1
            del replica.log[same:]
            replica.log += [entry[:4] + (now(),) for entry in primary.log[same:]]

    async def wait_for_replica(self, primary, position):
        while primary.primary:
            if any(s is not primary and s.term == primary.term and s.received() >= position for s in self.servers):
                return True
            await asyncio.sleep(0.0005)
        return False

    async def promote(self, name):
        server = self.server(name)
        if server.primary and server.term == max(s.term for s in self.servers):
            return 200, {}
        asyncio.get_running_loop().call_later(self.promote_s, self.take_over, server)
        return 200, {}

    def take_over(self, server):
        term = max(s.term for s in self.servers) + 1
        for other in self.servers:
            if other.held <= term:
                other.held = 0
        server.primary, server.term = True, term
        server.register()
        self.record(server.name, f"leads term {term}; its log ends at {server.received()}")
        asyncio.get_running_loop().call_later(self.net_s, self.replicate)


class Client:
    """A client's session with one proxy."""

    def __init__(self, record, name, port, database):
        self.record, self.name, self.port, self.database = record, name, port, database
        self.reader = self.writer = None
        self.count = 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.writer.write(f"START {self.database} {self.name}\r\n".encode())
        line = (await self.reader.readuntil(b"\r\n")).decode()
        if not line.startswith("READY"):
            raise ConnectionError(line.strip())

    async def query(self, text):
        """Sends one statement; returns the rows and the last line before READY. Reconnects first if needed."""
        if self.writer is None:
            await self.connect()
        self.count += 1
        key = f"{self.name}{self.count:04x}"
        sent = now()
        self.record(self.name, f"sends {key} {text}")
        try:
            self.writer.write(f"QUERY {key} {text}\r\n".encode())
            rows, end = [], ""
            while True:
                line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
                if line.startswith("READY"):
                    break
                if line.startswith("ROW "):
                    rows.append(line[4:])
                else:
                    end = line
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.writer = None
            self.record(self.name, f"lost the connection: {error}")
            return sent, [], "ERR closed"
        self.record(self.name, f"gets {key} {rows} {end}")
        return sent, rows, end


class Fleet:
    """The project's own proxies, as the deploy file starts them, in a temporary folder."""

    def __init__(self, record, store, root):
        self.record, self.store, self.root = record, store, root
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes, self.ports = {}, {}

    def start(self, name, zone, config_apply_ms, seeds=()):
        front, ready, ctl, metrics = free_ports(4)
        self.ports[name] = {"front": front, "ready": ready, "ctl": ctl}
        path = f"{self.folder}/{name}.toml"
        seeds = ", ".join(f'"{HOST}:{port}"' for port in seeds)
        with open(path, "w") as file:
            file.write(f'id = "{name}"\ndc = "{zone}"\nlisten = "{HOST}:{front}"\n'
                       f'operator_listen = "{HOST}:{ready}"\nkv = "http://{HOST}:{self.store.port}"\n\n[line]\n'
                       f'promoter = "{HOST}:{self.store.port}"\npromotions_per_second = 50.0\ngrace = "6s"\n'
                       f'metrics = "{HOST}:{metrics}"\npeer = "{HOST}:{ctl}"\nseeds = [{seeds}]\ncores = 0.25\n'
                       f'link_mbps = 1000.0\nconfig_within = "{config_apply_ms}ms"\nstart_wait = "500ms"\n')
        log = open(f"{self.folder}/{name}.log", "ab")
        command = [f"{self.root}/target/release/dandelionpitch", "--config", path]
        self.processes[name] = subprocess.Popen(command, cwd=self.root, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL)
        self.record(name, f"starts as process {self.processes[name].pid} in {zone}")

    def pid(self, name):
        return self.processes[name].pid

    async def is_ready(self, name):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports[name]["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except ConnectionError:
            return False

    async def wait_until_ready(self, name, limit_s=15):
        until = now() + limit_s
        while not await self.is_ready(name):
            if now() > until:
                raise TimeoutError(f"{name} is not ready")
            await asyncio.sleep(0.05)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
