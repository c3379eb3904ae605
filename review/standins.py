"""Stand-ins for the cases of the review: hosts, discovery and clients on loopback, and the start of the gateway by the
deploy file's `run` command. Python's standard library only."""
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # the exit codes of a case
LIMIT_S = 110  # a case that runs longer is stopped


def deploy_run_command():
    for line in (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8").splitlines():
        if line.startswith("run = "):
            return line.split('"')[1]
    raise RuntimeError("the deploy file has no run command")


def free_port():
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The record of what was sent, answered and run, with milliseconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return (time.monotonic() - self.start) * 1000

    def __call__(self, *words):
        self.file.write(f"{self.now():10.1f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def request_class(name, semantics, slo_ms, deadline_ms, worth, key_ttl_ms=0.0, group="all"):
    return {"name": name, "semantics": semantics, "group": group, "key_ttl_ms": key_ttl_ms, "slo_ms": slo_ms,
            "deadline_ms": deadline_ms, "worth": worth, "late_share": 0.0, "stream": False}


def plan(name, quota_rate, burst, hard_rate=0.0, hard_burst=0.0, ceiling_slack=0.0):
    return {"name": name, "quota_rate": quota_rate, "burst": burst, "pays": 1.0, "overrun_cost": 1.0,
            "beyond_earns": 0.0, "hard_rate": hard_rate, "hard_burst": hard_burst, "ceiling_slack": ceiling_slack,
            "concurrency": 0}


LOOKUP = request_class("stock-lookup", "safe", 1500.0, 4000.0, 2.0, 5000.0)
HOLD = request_class("item-hold", "keyed", 2500.0, 12000.0, 6.0, 25000.0)


def settings(classes=(LOOKUP, HOLD), plans=None, siblings=1, second_copies=True):
    return {
        "az": 0, "granularity_ms": 4.0, "siblings": siblings, "me": 0,
        "zones": ["north-building", "mill-building", "south-building"], "host_types": ["std-4core"],
        "discovery": "automatic", "kind_of_service": "gate", "weight_kind": "nominal",
        "lanes": list(classes), "packages": plans or [plan("flagship", 500.0, 1000.0)],
        "ceilings": {"second_copies": second_copies, "cancel": True, "retry_after": True, "max_attempts": 4,
                     "max_open": 20000, "max_retry_after_ms": 1000.0, "conn_idle_ms": 15000.0,
                     "connect_timeout_ms": 250.0, "may_probe": False, "peer_messages": False, "max_streams": 100},
        "load_report": {"how": "inline", "fields": ["depth"]},
        "rules": {"answer_slack_ms": 16.0, "ask_every_ms": 10000.0, "cold_from": 0.16, "warm_after_ms": 16000.0,
                  "drain_grace_ms": 250.0, "overload_factor": 2.0, "fall_ms": 1000.0},
        "family_info": {"units_top": 4, "counter": False, "trued_up": False}}


# ---- RESP2 ----

def command(*words):
    out = b"*%d\r\n" % len(words)
    for word in words:
        data = word if isinstance(word, bytes) else str(word).encode()
        out += b"$%d\r\n%s\r\n" % (len(data), data)
    return out


async def read_value(reader):
    """One RESP2 value: bytes of a bulk string, None for null, a list, or the line of another type."""
    line = await reader.readuntil(b"\r\n")
    kind, text = line[:1], line[1:-2]
    if kind == b"*":
        return [await read_value(reader) for _ in range(int(text))]
    if kind == b"$":
        if text == b"-1":
            return None
        return (await reader.readexactly(int(text) + 2))[:-2]
    return line[:-2].decode("latin-1")


def request_words(request_id, class_name, *, plan_name="flagship", customer=7, deadline_ms=4000, key=None, units=1,
                  spread=1, first=0, body=None):
    verb = "SVC.SUBMIT" if key else "SVC.QUERY"
    fields = f"c={class_name},t={plan_name},d={int(deadline_ms)}"
    if key:
        fields += f",k={key}"
    fields += f",units={units},spread={spread},first={first}"
    words = [verb, f"{customer:016x}", f"{request_id:016x}", fields]
    return words + [body] if body is not None else words


def fields_of(words):
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


# ---- hosts ----

class Host:
    """A host: each command goes to `serve(host, words)`, a coroutine that returns the bytes to answer."""

    def __init__(self, record, name, serve):
        self.record, self.name, self.serve = record, name, serve
        self.port = 0
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def on_connection(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                words = await read_value(reader)
                answer = await self.serve(self, words, writer)
                if answer:
                    writer.write(answer)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self, uid=None, state="active", boot_ms=0, zone="north-building", cell=0):
        return {"uid": uid or self.name, "endpoint": f"127.0.0.1:{self.port}", "az": zone, "model": "std-4core",
                "pod_group": cell, "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}


def served(value, queue=0):
    report = b"queue=%d" % queue
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value), value, len(report), report)


# ---- discovery ----

class Discovery:
    """The agent on the gateway's machine: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record, targets):
        self.record, self.targets, self.rev = record, targets, 1
        self.watches = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def list_text(self):
        return json.dumps({"rev": self.rev, "all": True, "targets": self.targets})

    async def on_connection(self, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            if "follow=1" not in request.splitlines()[0]:
                body = self.list_text().encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send(writer, self.list_text() + "\n")
            self.watches.add(writer)
            while True:
                await asyncio.sleep(2)
                self.send(writer, "\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    @staticmethod
    def send(writer, text):
        data = text.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


# ---- the gateway ----

class Gateway:
    """One process of the gateway, started as the deploy file says."""

    started = []  # all of them, for `run_case` to end

    def __init__(self, record, folder, name, config, *, tmpdir=None, settings_file=None, admin=None):
        self.record, self.name = record, name
        self.config_path = os.path.join(folder, name + ".json")
        self.tmpdir = tmpdir or tempfile.mkdtemp(prefix="tmp-", dir=folder)
        self.write_config(config)
        run = deploy_run_command()
        if settings_file:
            run += " --settings " + settings_file
        environment = dict(os.environ, EDGE_NAME=config["name"], EDGE_LISTEN=config["listen"],
                           EDGE_DISCOVERY=config["discovery"], EDGE_CONFIG=self.config_path, TMPDIR=self.tmpdir)
        environment.pop("EDGE_ADMIN", None)
        if admin:
            environment["EDGE_ADMIN"] = admin
        self.log = open(os.path.join(folder, f"{name}-{len(Gateway.started)}.log"), "w+", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        Gateway.started.append(self)
        record("gateway", name, "started, process", self.process.pid)

    def write_config(self, config):
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(self.config_path + ".new", self.config_path)

    def signal(self, number):
        self.record("gateway", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def log_text(self):
        self.log.flush()
        return pathlib.Path(self.log.name).read_text(encoding="utf-8", errors="replace")

    def has_ended(self):
        return self.process.poll() is not None

    def end(self, record):
        """Ends the process if it still runs, and copies its log to the record."""
        if not self.has_ended():
            self.process.kill()
        self.process.wait()
        for line in self.log_text().splitlines():
            record("log of", self.name, line)
        self.log.close()


def config(name, listen, discovery, targets, settings_, *, memory_mb=192, sockets=1024, rev=1, admin=None, seed=None):
    result = {"name": name, "listen": listen, "discovery": discovery, "seed": seed or f"{random.getrandbits(64):016x}",
              "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
              "known": {"rev": rev, "all": True, "targets": targets}, "settings": settings_}
    if admin:
        result["admin"] = admin
    return result


async def ping(port):
    """The answer to PING on a new connection, or None."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return None
    try:
        writer.write(command("PING"))
        return await asyncio.wait_for(read_value(reader), 1)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


async def wait_until_ready(port, seconds=30):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await ping(port) == "+PONG":
            return True
        await asyncio.sleep(0.05)
    return False


async def operator_call(port, method, path):
    """One call of an operator: the status and the body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
        text = (await asyncio.wait_for(reader.read(), 5)).decode()
    finally:
        writer.close()
    return int(text.split()[1]), text.partition("\r\n\r\n")[2]


# ---- cases ----

class NotRun(Exception):
    """The case could not be played."""


def run_case(play):
    """Plays `play(record, folder, trouble)`, a coroutine that returns what broke the rule, one line each; exits with the
    case's code. All gateways are ended, and the temporary folder is removed."""
    case_folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case_folder / "record.txt")
    record("the case is played", "with the disruption" if trouble else "without the disruption")
    folder = tempfile.mkdtemp(prefix="review-")
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))

    async def play_and_end():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # connections that the gateway breaks
        try:
            return await asyncio.wait_for(play(record, folder, trouble), LIMIT_S)
        finally:
            for gateway in Gateway.started:
                gateway.end(record)
            await asyncio.sleep(0.2)

    code = NOT_RUN
    try:
        broken = asyncio.run(play_and_end())
        for line in broken:
            record("BROKEN:", line)
        code = BROKEN if broken else HELD
        summary = f"{len(broken)} times broken, first: {broken[0]}" if broken else "the rule held"
        record("result:", summary)
        print(summary)
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, the case was not played
        record("not run:", repr(error), traceback.format_exc())
        print("the case could not run:", repr(error))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


async def start_fleet(record, folder, serve, *, hosts=6, classes=(LOOKUP, HOLD), admin=False, entry=None):
    """Hosts that answer by `serve`, discovery, and one gateway that is ready and has run for over a second."""
    fleet = [Host(record, f"s-{number}", serve) for number in range(hosts)]
    for host in fleet:
        await host.start()
    targets = [host.entry() for host in fleet]
    discovery = Discovery(record, targets)
    await discovery.start()
    port, admin_port = free_port(), free_port() if admin else None
    base = config("n0", f"127.0.0.1:{port}", f"127.0.0.1:{discovery.port}", targets, settings(classes))
    gateway = Gateway(record, folder, "n0", base, admin=f"127.0.0.1:{admin_port}" if admin else None)
    if not await wait_until_ready(port):
        raise NotRun("the gateway did not get ready: " + gateway.log_text())
    await asyncio.sleep(1.2)
    return fleet, discovery, gateway, base, port, admin_port
