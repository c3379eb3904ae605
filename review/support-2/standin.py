"""Stand-ins for the cases of the second review: hosts, discovery, clients, and one gateway process.

Standard library only. Everything listens on loopback addresses and on ports that the system chooses. The hosts,
discovery and the clients do what PROTOCOL, WIRE and DAYS say; where those are silent they behave soundly.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """record.txt of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, *words):
        self.file.write(f"{self.now():9.4f} " + " ".join(str(word) for word in words) + "\n")

    def say(self, *words):
        self(*words)
        self.file.flush()
        print(*words, flush=True)


def encode(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        data = word if isinstance(word, bytes) else str(word).encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(parts)


async def read_line(reader):
    line = await reader.readuntil(b"\r\n")
    return line[:-2]


async def read_command(reader):
    """The words of a command, an array of bulk strings."""
    header = await read_line(reader)
    if header[:1] != b"*":
        raise ValueError(f"not an array: {header[:40]!r}")
    words = []
    for _ in range(int(header[1:])):
        size = int((await read_line(reader))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader):
    """A gateway's answer: bytes for a bulk string, str with its mark for a line."""
    line = await read_line(reader)
    if line[:1] == b"$":
        size = int(line[1:])
        if size < 0:
            return "$-1"
        return (await reader.readexactly(size + 2))[:-2]
    return line.decode("latin-1")


def fields_of(words):
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class Host:
    """A host. `serve(host, words)` is a coroutine that returns the bytes to answer with, or None for silence."""

    def __init__(self, uid, serve, zone="north-building", boot_ms=0):
        self.uid, self.serve, self.zone, self.boot_ms = uid, serve, zone, boot_ms
        self.state, self.hung, self.received = "active", False, 0
        self.writers = set()
        self.writer_of = {}  # the connection of each request that is being served, for answers in pieces

    async def start(self, address="127.0.0.1"):
        self.address = address
        self.server = await asyncio.start_server(self.on_connection, address, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                words = await read_command(reader)
                name = words[0].upper()
                if name not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                    writer.write(b"+OK\r\n" if name in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n")
                    continue
                self.received += 1
                self.writer_of[words[2]] = writer
                answer = await self.serve(self, words)
                self.writer_of.pop(words[2], None)
                if answer is None:
                    await reader.read(-1)  # silent until the gateway ends the connection
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self):
        return {"uid": self.uid, "endpoint": f"{self.address}:{self.port}", "az": self.zone, "model": "std-4core",
                "pod_group": 0, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}


def value_reply(value, queue=0):
    report = f"queue={queue}".encode()
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value), value, len(report), report)


class HostView:
    """A host as one agent of discovery knows it."""

    def __init__(self, host):
        self.host, self.uid, self.state = host, host.uid, host.state

    def entry(self):
        return dict(self.host.entry(), state=self.state)


class Discovery:
    """The agent on the gateway's machine: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, hosts, record):
        self.hosts, self.record, self.rev, self.watches = hosts, record, 41, set()
        self.whole_list_first = False  # whether each watch begins with the whole list
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def listing(self, hosts=None, whole=True):
        hosts = [host for host in self.hosts if host.state != "left"] if hosts is None else hosts
        return {"rev": self.rev, "all": whole, "targets": [host.entry() for host in hosts]}

    @staticmethod
    def chunk(text):
        return b"%x\r\n%s\r\n" % (len(text), text)

    def change(self, host, state):
        host.state = state
        self.rev += 1
        line = json.dumps(self.listing([host], False)).encode() + b"\n"
        for writer in list(self.watches):
            writer.write(self.chunk(line))
        self.record("discovery", "rev", self.rev, host.uid, state, "watches", len(self.watches))

    async def retire(self):
        """Takes no new connection and closes the open ones after 1.5 s."""
        self.server.close()
        await asyncio.sleep(1.5)
        for writer in list(self.connections):
            writer.close()

    async def on_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = request.split(" ")[1]
            if "follow=1" not in path:
                body = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
                return
            since = int(re.search(r"since=(\d+)", path).group(1))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            if since != self.rev or self.whole_list_first:
                writer.write(self.chunk(json.dumps(self.listing()).encode() + b"\n"))
            self.watches.add(writer)
            while True:
                writer.write(self.chunk(b"\n"))
                await writer.drain()
                await asyncio.sleep(2)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            self.connections.discard(writer)
            writer.close()


def plan(name, rate, burst, pays=1.0, hard_rate=0.0, hard_burst=0.0, slack=0.0):
    return {"name": name, "quota_rate": rate, "burst": burst, "pays": pays, "overrun_cost": 1.2, "beyond_earns": 0.0,
            "hard_rate": hard_rate, "hard_burst": hard_burst, "ceiling_slack": slack, "concurrency": 0}


def request_class(name, semantics, deadline_ms, slo_ms, worth, ttl_ms=25000.0):
    return {"name": name, "semantics": semantics, "group": "all", "key_ttl_ms": ttl_ms, "deadline_ms": deadline_ms,
            "slo_ms": slo_ms, "late_share": 0.0, "worth": worth, "stream": False}


def settings(classes, plans, siblings=3, **ceilings):
    """Settings as in WIRE, of a deployment of a few gateways."""
    limits = {"cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0,
              "cpu_us_per_s": 500000, "max_attempts": 4, "max_open": 20000, "max_retry_after_ms": 1000.0,
              "max_streams": 100, "may_probe": False, "peer_messages": False, "retry_after": True,
              "second_copies": True}
    limits.update(ceilings)
    return {"az": 0, "ceilings": limits, "clients": {"marks_retry": False}, "discovery": "automatic",
            "family_info": {"call_price": 0.005, "counter": True, "counter_timeout_ms": 50.0, "meter_ms": 0.0,
                            "peer_intake": 0.0, "trued_up": False, "units_top": 4},
            "goal": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
            "granularity_ms": 4.0, "host_types": ["std-4core"], "kind_of_service": "gate", "lanes": classes,
            "load_report": {"fields": ["depth"], "how": "inline"}, "me": 0, "packages": plans,
            "prices": {"cross_zone": 0.01, "late_fail": 0.05, "waste": 0.08},
            "rules": {"answer_slack_ms": 16.0, "ask_every_ms": 10000.0, "cold_from": 0.16, "drain_grace_ms": 250.0,
                      "fall_ms": 1000.0, "overload_factor": 2.0, "warm_after_ms": 16000.0},
            "siblings": siblings, "tier": 0, "tiers": ["stock-servers"], "weight_kind": "nominal",
            "zones": ["north-building", "mill-building", "south-building"]}


def free_port(address="127.0.0.1"):
    import socket
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "([^"]*)"', file.read(), re.M).group(1)


class Gateway:
    """One gateway, started with the deploy file's `run` command."""

    def __init__(self, record, discovery, gateway_settings, memory_mb=192, sockets=1024, name="n0"):
        self.record, self.discovery, self.settings, self.name = record, discovery, gateway_settings, name
        self.memory_mb, self.sockets = memory_mb, sockets
        self.folder = tempfile.mkdtemp(prefix="cometfold-case-")
        self.tmpdir = os.path.join(self.folder, "tmp")
        self.port = free_port()
        self.first_discovery = discovery  # EDGE_DISCOVERY, which an upgrade leaves as it was
        self.processes = []

    def write_config(self):
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}",
                  "discovery": f"127.0.0.1:{self.discovery.port}", "seed": f"{random.getrandbits(64):016x}",
                  "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                  "known": self.discovery.listing(), "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    def start(self):
        """Starts a process; a second one beside the first is an upgrade."""
        admin_port = free_port()
        os.makedirs(self.tmpdir, exist_ok=True)
        env = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN=f"127.0.0.1:{self.port}",
                   EDGE_DISCOVERY=f"127.0.0.1:{self.first_discovery.port}", EDGE_CONFIG=self.write_config(),
                   EDGE_ADMIN=f"127.0.0.1:{admin_port}", TMPDIR=self.tmpdir)
        log = open(os.path.join(self.folder, f"log-{len(self.processes)}"), "wb")
        process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        process.admin_port = admin_port
        self.processes.append(process)
        self.record("gateway", self.name, "started, process", len(self.processes))
        return process

    async def call(self, process, method, path):
        """An operator's call: the status and the body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", process.admin_port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: gateway\r\n\r\n".encode())
        answer = (await asyncio.wait_for(reader.read(-1), 2)).decode()
        writer.close()
        return int(answer.split(" ")[1]), answer.partition("\r\n\r\n")[2]

    async def ready(self, process, timeout=30):
        """Waits until the process says yes to operators, and, if it is the only one, answers PING."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if process.poll() is not None:
                raise RuntimeError("the gateway ended while it started")
            try:
                if (await self.call(process, "GET", "/_ready"))[0] == 200:
                    return
            except (OSError, asyncio.TimeoutError, IndexError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the gateway is not ready after 30 s")

    def anonymous_bytes(self, process):
        """Memory of the process that no file backs: less than what the platform counts."""
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
            return int(re.search(r"RssAnon:\s+(\d+) kB", file.read()).group(1)) * 1024

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for index in range(len(self.processes)):
            with open(os.path.join(self.folder, f"log-{index}"), encoding="utf-8", errors="replace") as file:
                for line in file.read().splitlines()[:400]:
                    self.record("log of process", index + 1, "|", line)
        shutil.rmtree(self.folder, ignore_errors=True)


async def steady_client(record, gateway, counts, pause_s=0.05, class_name="stock-lookup", plan_name="flagship",
                        deadline_ms=4000):
    """Asks one request after another on a kept connection, and opens a new one when the gateway ends it."""
    reader = writer = None
    while True:
        try:
            if reader is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=1 << 20)
            identity = request_id()
            record("sent", identity)
            writer.write(command(True, random.getrandbits(32), identity, class_name, plan_name, deadline_ms))
            answer = await read_reply(reader)
            kind = "value" if isinstance(answer, bytes) else answer.split(" ")[0]
            record("answer to", identity, kind)
            counts[kind] = counts.get(kind, 0) + 1
            await asyncio.sleep(pause_s)
        except (ConnectionError, asyncio.IncompleteReadError):
            reader = None
            await asyncio.sleep(0.01)


def hex16(number):
    return f"{number:016x}"


def request_id():
    return hex16(random.getrandbits(64))


def command(query, customer, identity, class_name, plan_name, deadline_ms, units=1, spread=3, first=0, key=None,
            body=None):
    fields = f"c={class_name},t={plan_name},d={deadline_ms}"
    if key is not None:
        fields += f",k={key}"
    fields += f",units={units},spread={spread},first={first}"
    words = ["SVC.QUERY" if query else "SVC.SUBMIT", hex16(customer), identity, fields]
    return encode(*words, *([body] if body is not None else []))


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, case, limit_s=110):
    """Runs the coroutine `case(record, gateways)`, ends the gateways and exits with its verdict."""
    record = Record(folder)
    gateways = []

    async def bounded():
        return await asyncio.wait_for(case(record, gateways), limit_s)

    verdict = CANNOT_RUN
    try:
        verdict = asyncio.run(bounded())
    except Exception as error:  # pylint: disable=broad-except
        record.say("the case could not run:", type(error).__name__, error)
    finally:
        for gateway in gateways:
            gateway.end()
    record.say("verdict:", {HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[verdict])
    record.file.close()
    os._exit(verdict)  # connections of tasks that were cut off need no farewell
