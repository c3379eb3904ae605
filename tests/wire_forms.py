"""Compares everything that the program reads and writes with golden files, so that its formats stay compatible.

    tests/wire_forms.py PROGRAM [--record]      PROGRAM is build/cometfold

A gateway runs on loopback between an emulated host and an emulated discovery, and receives fixed commands, lists, HTTP
calls and configurations. Its output is written one item per line, with numbers that depend on time or ports masked, and
compared with tests/golden/*.txt; --record writes those files instead. tests/golden/handover_1c36e3a.json is the state
that the program at commit 1c36e3a handed over: a new process has to read it.
"""
import array
import asyncio
import copy
import difflib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE / "soak"))
import wire  # noqa: E402

GOLDEN = HERE / "golden"
HANDOVER_STATE = GOLDEN / "handover_1c36e3a.json"
WAIT_S = 20  # timeout of every wait; nothing is measured by it
CUSTOMER = "00000000b4d65521"
OWN_SETTINGS = "[log]\nrequests = true\ndecisions = true\n"

CONFIG = {
    "name": "n0", "listen": "127.0.0.1:0", "discovery": "", "admin": "", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "known": {"rev": 1, "all": True, "targets": []},
    "settings": {
        "az": 0, "granularity_ms": 4.0, "siblings": 4, "zones": ["a", "b"], "host_types": ["m"],
        "discovery": "subscribe", "load_report": {"fields": ["depth", "inflight", "util"]},
        "lanes": [
            {"name": "lookup", "semantics": "safe", "slo_ms": 800.0, "deadline_ms": 2000.0, "worth": 1.0},
            {"name": "order", "semantics": "keyed", "group": "zone", "key_ttl_ms": 20000.0, "slo_ms": 800.0,
             "deadline_ms": 2000.0, "worth": 2.0, "late_share": 0.5},
            {"name": "hold", "semantics": "unsafe", "slo_ms": 800.0, "deadline_ms": 2000.0, "worth": 3.0}],
        "packages": [
            {"name": "team", "quota_rate": 50.0, "burst": 100.0, "pays": 1.0, "overrun_cost": 1.0, "beyond_earns": 0.0,
             "hard_rate": 0.0, "hard_burst": 0.0, "ceiling_slack": 0.0, "concurrency": 0},
            {"name": "capped", "quota_rate": 50.0, "burst": 100.0, "pays": 2.0, "overrun_cost": 1.0,
             "beyond_earns": 0.5, "hard_rate": 0.001, "hard_burst": 1.0, "ceiling_slack": 0.5, "concurrency": 2}],
        "ceilings": {"second_copies": True, "cancel": True, "retry_after": True, "max_attempts": 1, "max_open": 1000,
                     "max_retry_after_ms": 1000.0, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10000.0, "overload_factor": 2.0, "fall_ms": 1000.0},
        "family_info": {"units_top": 4}}}


class Host:
    """An emulated host: its answer depends on the request's id. It records each command as received."""

    def __init__(self):
        self.commands = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer):
        reader = wire.Reader()
        while data := peer.recv(65536):
            reader.feed(data)
            while (words := reader.next()) is not reader.MORE:
                self.commands.append(b" ".join(words).decode())
                answer = REPLIES_BY_ID.get(words[2].decode(), SERVED)
                if answer is None:
                    peer.close()
                    return
                peer.sendall(answer)


LOAD_REPORT = b"depth=1,inflight=2,util=0.5"
SERVED = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$%d\r\n%s\r\n" % (len(LOAD_REPORT), LOAD_REPORT)
REPLIES_BY_ID = {
    "00000000000000e1": b"-ERR failed\r\n",
    "00000000000000e2": b"-BUSY\r\n",
    "00000000000000e3": b"-BUSY depth=9\r\n",
    "00000000000000e4": b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",  # no value: malformed
    "00000000000000e5": b"+OK\r\n",
    "00000000000000e6": None,  # the connection breaks
    "00000000000000e7": b"*1\r\n$0\r\n\r\n",
}

FIELDS = "c=lookup,t=team,d=1500,units=1,spread=4,first=0"
COMMANDS = [
    ["PING"], ["PING", "text"], ["ping"], ["PING", "a", "b"], ["HELLO", "3"], ["CLIENT", "SETNAME", "x"], ["SELECT", "0"],
    ["QUIT"], ["SVC.QUERY"], ["SVC.QUERY", "x", "1", FIELDS], ["SVC.QUERY", CUSTOMER, "zz", FIELDS],
    ["SVC.QUERY", CUSTOMER, "0000000000000001", FIELDS],
    ["svc.query", CUSTOMER, "0000000000000002", FIELDS + ",r=1"],
    ["SVC.QUERY", CUSTOMER, "0000000000000003", FIELDS + ",later=1", "body"],
    ["SVC.SUBMIT", CUSTOMER, "0000000000000004", FIELDS],
    ["SVC.SUBMIT", CUSTOMER, "0000000000000005", FIELDS.replace("lookup", "order")],
    ["SVC.SUBMIT", CUSTOMER, "0000000000000006", FIELDS.replace("lookup", "order") + ",k=5c0f6e1a2b3d4c59", "body"],
    ["SVC.SUBMIT", CUSTOMER, "0000000000000007", FIELDS.replace("lookup", "hold"), "body"],
    ["SVC.QUERY", CUSTOMER, "0000000000000008", FIELDS.replace("lookup", "hold")],
    ["SVC.QUERY", CUSTOMER, "0000000000000009", FIELDS.replace("lookup", "none")],
    ["SVC.QUERY", CUSTOMER, "000000000000000a", FIELDS.replace("team", "none")],
    ["SVC.QUERY", CUSTOMER, "000000000000000b", FIELDS.replace("d=1500", "d=0")],
    ["SVC.QUERY", CUSTOMER, "000000000000000c", FIELDS.replace("units=1", "units=99")],
    ["SVC.QUERY", CUSTOMER, "000000000000000d", FIELDS.replace("spread=4", "spread=5")],
    ["SVC.QUERY", CUSTOMER, "000000000000000e", FIELDS.replace("first=0", "first=4")],
    ["SVC.QUERY", CUSTOMER, "000000000000000f", FIELDS + ",c=lookup"],
    ["SVC.QUERY", CUSTOMER, "0000000000000010", "c=lookup,t=team"],
    ["SVC.QUERY", CUSTOMER, "0000000000000011", "=x," + FIELDS],
    ["SVC.QUERY", "0000000000000c0d", "0000000000000012", FIELDS.replace("team", "capped")],
] + [["SVC.QUERY", CUSTOMER, identity, FIELDS] for identity in REPLIES_BY_ID]

LISTS = [  # host lists as discovery sends them; the metrics show how the gateway reads them
    '{"rev":2,"all":true,"targets":[HOST]}',
    '{"rev":3,"all":false,"targets":[{"uid":"s-2","endpoint":"127.0.0.1:9","az":"b","model":"m","pod_group":3,'
    '"state":"active","capacity_hint":1.0,"boot_ms":0}]}',
    '{"rev":4,"all":false,"targets":[{"uid":"s-2","endpoint":"127.0.0.1:9","az":"b","model":"m","pod_group":3,'
    '"state":"leaving","capacity_hint":1.0,"boot_ms":0}]}',
    '{"rev":5,"all":false,"targets":[{"uid":"s-2","endpoint":"127.0.0.1:9","az":"b","model":"m","pod_group":3,'
    '"state":"left","capacity_hint":1.0,"boot_ms":0}]}',
]


class Discovery:
    """An emulated discovery: sends a watch one line at a time."""

    def __init__(self, host_port):
        self.host = json.dumps({"uid": "s-1", "endpoint": f"127.0.0.1:{host_port}", "az": "a", "model": "m",
                                "pod_group": 0, "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
        self.lines = [LISTS[0].replace("HOST", self.host)]
        self.calls = []
        self.watches = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer):
        head = b""
        while b"\r\n\r\n" not in head:
            data = peer.recv(4096)
            if not data:
                return
            head += data
        self.calls.append(head.split(b"\r\n")[0].decode())
        peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(peer)
        for line in list(self.lines):
            self.send(peer, line)
        while True:
            time.sleep(1)
            self.send(peer, "")

    def send(self, peer, line):
        data = line.encode() + b"\n"
        try:
            peer.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        except OSError:
            pass

    def push(self, line):
        self.lines.append(line)
        for peer in self.watches:
            self.send(peer, line)


class Gateway:
    def __init__(self, program, config, folder, tmpdir=None):
        path = os.path.join(folder, f"config-{time.monotonic_ns()}.json")
        pathlib.Path(path).write_text(json.dumps(config))
        own = os.path.join(folder, "own.toml")
        pathlib.Path(own).write_text(OWN_SETTINGS)
        environment = dict(os.environ, EDGE_NAME="n0", EDGE_LISTEN="127.0.0.1:0", EDGE_CONFIG=path,
                           EDGE_DISCOVERY=config["discovery"], EDGE_ADMIN=config["admin"], TMPDIR=tmpdir or folder)
        environment["EDGE_LISTEN"] = config["listen"]
        self.lines = []
        self.process = subprocess.Popen([program, "--settings", own], env=environment, stdin=subprocess.DEVNULL,
                                        stderr=subprocess.PIPE, text=True)
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stderr:
            self.lines.append(line.rstrip("\n"))

    def wait_for(self, text):
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            for line in list(self.lines):
                if text in line:
                    return line
            time.sleep(0.01)
        raise AssertionError(f"no line with '{text}' in {self.lines}")

    def address(self):
        host, port = self.wait_for("ready").split()[-1].rsplit(":", 1)
        return host, int(port)

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(WAIT_S) == 0, self.process.returncode


def reply_text(value):
    if isinstance(value, wire.Error):
        return "-" + re.sub(r"(?<=BUSY )\d+", "MS", value)
    return repr(value)


def run_command(address, words):
    with socket.create_connection(address, timeout=WAIT_S) as client:
        client.sendall(wire.encode(*words))
        reader = wire.Reader()
        while (value := reader.next()) is reader.MORE:
            data = client.recv(65536)
            if not data:
                return "closed"
            reader.feed(data)
        return reply_text(value)


def http_call(port, method, path):
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method=method)
    try:
        with urllib.request.urlopen(request, timeout=WAIT_S) as answer:
            return answer.status, answer.headers.get("Content-Type"), answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers.get("Content-Type"), error.read().decode()


def metrics(port):
    return dict(line.split(":", 1) for line in http_call(port, "GET", "/_vars")[2].split())


def wait_for_metric(port, name, value):
    end = time.monotonic() + WAIT_S
    while metrics(port).get(name) != value:
        assert time.monotonic() < end, (name, value, metrics(port))
        time.sleep(0.02)


TIME_FIELDS = re.compile(r"(\bat=|\bleft=|\bconnection=|\battempt=|,d=)[-\d.]+|(\bhost=)[0-9a-f]{8}")


def mask_times(line):
    return TIME_FIELDS.sub(lambda found: (found[1] or found[2]) + "#", line)


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def record_service(program, folder, outputs):
    host = Host()
    discovery = Discovery(host.port)
    config = copy.deepcopy(CONFIG)
    config["discovery"] = f"127.0.0.1:{discovery.port}"
    config["admin"] = f"127.0.0.1:{free_port()}"
    admin = int(config["admin"].rsplit(":")[-1])
    gateway = Gateway(program, config, folder)
    address = gateway.address()
    wait_for_metric(admin, "edge_edge.known_hosts", "1|g")
    outputs["commands"] = [f"{' '.join(words)} -> {run_command(address, words)}" for words in COMMANDS]
    outputs["commands_to_hosts"] = [mask_times(command) for command in host.commands]
    wait_for_metric(admin, "edge_edge.closed.client", f"{len(COMMANDS)}|c")
    outputs["metrics_after_commands"] = [f"{name}:{value}" for name, value in sorted(metrics(admin).items())]
    outputs["lists"] = []
    for line, hosts, excluded in ((LISTS[1], 2, 0), (LISTS[2], 2, 1), (LISTS[3], 1, 0)):
        discovery.push(line)
        wait_for_metric(admin, "edge_edge.known_hosts", f"{hosts}|g")
        wait_for_metric(admin, "edge_edge.skipped_hosts", f"{excluded}|g")
        outputs["lists"].append(f"{line} -> {hosts} known, {excluded} skipped")
    outputs["lists"].append(f"the call: {discovery.calls[0]}")
    outputs["operators_calls"] = [
        f"{method} {path} -> {http_call(admin, method, path)[:2]} {http_call(admin, method, path)[2]!r}"
        for method, path in (("GET", "/_ready"), ("POST", "/_ready"), ("GET", "/_members"), ("GET", "/none"),
                             ("POST", "/_lameduck/on"), ("GET", "/_ready"), ("POST", "/_lameduck/off"),
                             ("GET", "/_ready"), ("GET", "/_lameduck/on"))]
    gateway.wait_for(f"id={COMMANDS[-1][2]} step=refused")
    logged = list(gateway.lines)
    # Whether a connection is established when an attempt begins depends on timing: if so, there is no first_byte line.
    steps = [mask_times(line) for line in logged if "step=" in line]
    outputs["request_log"] = [line for line in steps if "step=first_byte" not in line]
    outputs["request_log"].append(next(line for line in steps if "step=first_byte" in line))
    outputs["decision_log"] = [line for line in logged if "customer=" in line or "plan=" in line or "class=" in line]
    gateway.stop()


def predecessor_path(folder, address):
    """The socket by which a second process finds the first: its name holds the gateway's name, address and port."""
    names = [name for name in os.listdir(folder) if name.endswith(".handover")]
    assert len(names) == 1, names
    return os.path.join(folder, names[0])


def record_handover(program, folder, outputs):
    """Acts as the second process, and records what a gateway hands over."""
    host = Host()
    discovery = Discovery(host.port)
    config = copy.deepcopy(CONFIG)
    config["discovery"] = f"127.0.0.1:{discovery.port}"
    config["admin"] = f"127.0.0.1:{free_port()}"
    config["listen"] = f"127.0.0.1:{free_port()}"
    gateway = Gateway(program, config, folder)
    address = gateway.address()
    wait_for_metric(int(config["admin"].rsplit(":")[-1]), "edge_edge.known_hosts", "1|g")
    for number in range(5):
        answer = run_command(address, ["SVC.QUERY", f"000000000000001{number}", f"00000000000001{number:02x}", FIELDS])
        assert "value" in answer, answer
    path = predecessor_path(folder, config["listen"])
    with socket.socket(socket.AF_UNIX) as peer:
        peer.settimeout(WAIT_S)
        peer.connect(path)
        hello, descriptors, _, _ = socket.recv_fds(peer, 1, 1)
        outputs["handover_hello"] = [f"{hello!r} with {len(descriptors)} descriptor"]
        gateway.wait_for("a successor process has connected")
        gateway.process.send_signal(signal.SIGTERM)
        text = b""
        while not text.endswith(b"\n"):
            data = peer.recv(65536)
            assert data, text
            text += data
    for descriptor in descriptors:
        os.close(descriptor)
    assert gateway.process.wait(WAIT_S) == 0
    outputs["handover_name"] = [re.sub(r"\d{4,5}(?=\.handover)", "PORT", os.path.basename(path))]
    state = json.loads(text)
    outputs["handover_state"] = describe_json("state", state)
    return text


def describe_json(name, value):
    """Keys, types and lengths of a JSON value, one per line."""
    if isinstance(value, dict):
        return [line for key in value for line in describe_json(f"{name}.{key}", value[key])]
    if isinstance(value, list) and value and isinstance(value[0], list):
        return [f"{name}: {len(value)} of [{', '.join(type(item).__name__ for item in value[0])}]"]
    if isinstance(value, list):
        return [f"{name}: [{', '.join(type(item).__name__ if not isinstance(item, str) else item for item in value)}]"]
    return [f"{name}: {value if isinstance(value, str) else type(value).__name__}"]


def read_old_state(program, folder, outputs):
    """Acts as the first process: a gateway takes over the state that 1c36e3a wrote."""
    host = Host()
    discovery = Discovery(host.port)
    config = copy.deepcopy(CONFIG)
    config["discovery"] = f"127.0.0.1:{discovery.port}"
    config["admin"] = f"127.0.0.1:{free_port()}"
    listener = socket.create_server(("127.0.0.1", 0))
    config["listen"] = "127.0.0.1:%d" % listener.getsockname()[1]
    path = os.path.join(folder, f"cometfold-n0-127.0.0.1-{listener.getsockname()[1]}.handover")
    with socket.socket(socket.AF_UNIX) as server:
        server.settimeout(WAIT_S)
        server.bind(path)
        server.listen(1)
        gateway = Gateway(program, config, folder)
        peer, _ = server.accept()
    with peer:
        peer.sendmsg([b"L"], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [listener.fileno()]))])
        gateway.wait_for("the predecessor process is serving")
        gateway.wait_for("admin server is listening")
        # The host must be known before the hand-over, so that its state can be applied to it.
        wait_for_metric(int(config["admin"].rsplit(":")[-1]), "edge_edge.known_hosts", "1|g")
        peer.sendall(HANDOVER_STATE.read_bytes())
        taken = gateway.wait_for("taken over")
    listener.close()
    outputs["handover_read"] = [re.sub(r"^.*(?=taken over)", "", taken)]
    assert run_command(gateway.address(), ["PING"]) == "'PONG'"
    gateway.stop()


BAD_CONFIGS = [
    ("no number of gateways", ("settings", "siblings"), None), ("a time that is text", ("settings", "lanes", 0, "deadline_ms"), "x"),
    ("a plan without a name", ("settings", "packages", 0, "name"), None), ("sockets as text", ("limits", "sockets"), "many"),
    ("no list", ("known",), None), ("a list with an unknown state", ("known", "targets"), [{"uid": "s-1", "endpoint": "127.0.0.1:9", "state": "odd"}]),
    ("an endpoint without a port", ("known", "targets"), [{"uid": "s-1", "endpoint": "127.0.0.1", "state": "active"}]),
    ("unknown fields", ("something_new",), {"of_later": 1}), ("no seed", ("seed",), None)]
BAD_SETTINGS = ["[hosts]\nrest_ms = -1\n", "[hosts]\nper_hots = 9\n", "[log]\nrequests = 1\n", "[limits.class.lookup]\nattempts = 9\n",
                "[peers]\nlisten = \"here\"\n", "[extproc]\nrepeats = \"often\"\n", "[[extproc.rule]]\nclass = \"none\"\npath = \"/\"\n", "[hosts\n",
                "[limits.class.hold]\nsecond_copies = true\n", "[hosts]\nrest_ms = 30\nper_host = 90\nidle_per_host = 8\ndescriptors_share = 0.3\n"]


def record_checks(program, folder, outputs):
    """Records which configurations and settings are accepted."""
    def check(config, settings):
        path, own = os.path.join(folder, "checked.json"), os.path.join(folder, "checked.toml")
        pathlib.Path(path).write_text(json.dumps(config))
        pathlib.Path(own).write_text(settings)
        done = subprocess.run([program, "--check-config", path, "--settings", own], capture_output=True, text=True,
                              env=dict(os.environ, EDGE_NAME="n0", EDGE_LISTEN="127.0.0.1:0", EDGE_DISCOVERY="127.0.0.1:9"))
        return f"exit {done.returncode}"

    good = dict(CONFIG, discovery="127.0.0.1:9")
    good.pop("admin")
    lines = [f"good: {check(good, '')}"]
    for name, key_path, value in BAD_CONFIGS:
        config = copy.deepcopy(good)
        parent = config
        for step in key_path[:-1]:
            parent = parent[step]
        if value is None:
            del parent[key_path[-1]]
        else:
            parent[key_path[-1]] = value
        lines.append(f"{name}: {check(config, '')}")
    lines += [f"{settings!r}: {check(good, settings)}" for settings in BAD_SETTINGS]
    outputs["checks"] = lines
    version = subprocess.run([program, "--outcomes"], capture_output=True, text=True, check=True).stdout
    outputs["outcomes"] = version.splitlines()


def compare(outputs):
    different = []
    for name, lines in sorted(outputs.items()):
        golden = (GOLDEN / f"{name}.txt").read_text().splitlines()
        different += difflib.unified_diff(golden, lines, f"golden/{name}.txt", "this program", lineterm="")
    return different


def main():
    program, record = os.path.abspath(sys.argv[1]), "--record" in sys.argv
    outputs = {}
    for step in (record_service, record_handover, read_old_state, record_checks):
        with tempfile.TemporaryDirectory(prefix="forms-") as folder:
            state = step(program, folder, outputs)
            if record and step is record_handover:
                HANDOVER_STATE.write_bytes(state)
    if record:
        for name, lines in outputs.items():
            (GOLDEN / f"{name}.txt").write_text("\n".join(lines) + "\n")
    different = compare(outputs)
    print("\n".join(different) or f"{len(outputs)} outputs match the golden files")
    sys.exit(1 if different else 0)


if __name__ == "__main__":
    main()
