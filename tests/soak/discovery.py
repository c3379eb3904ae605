"""Emulates discovery over HTTP/1.1, with the faults that its protocol allows for."""
import asyncio
import json
import re

SILENT_WATCH_TIMEOUT = 6.0  # seconds after which a change counts as known, even if the open watch was silent


class Discovery:
    """One discovery server of a gateway. Each gateway has two; a new configuration moves it from one to the other."""

    def __init__(self, world, gateway):
        self.world, self.gateway = world, gateway
        self.available, self.refuse, self.silent, self.full_list_first, self.omit_leaving = True, False, False, False, False
        self.delay = 0.0
        self.sessions = set()

    async def start(self):
        self.server = await asyncio.get_running_loop().create_server(lambda: Session(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, host):
        return {"uid": host.name, "endpoint": f"127.0.0.1:{self.world.proxies[self.gateway, host.name].port}",
                "az": host.zone, "model": "m", "pod_group": host.cell,
                "state": "active" if host.state == "dead" else host.state,
                "capacity_hint": 1.0, "boot_ms": host.boot_ms}

    def full_list(self):
        hosts = [h for h in self.world.hosts.values() if h.state != "left"]
        if self.omit_leaving:
            hosts = [h for h in hosts if h.state in ("active", "dead")]
        return {"rev": self.world.revision, "all": True, "targets": [self.entry(h) for h in hosts]}

    def changes(self, since):
        names = {name for rev, name in self.world.changes if rev > since}
        return {"rev": self.world.revision, "all": False,
                "targets": [self.entry(self.world.hosts[name]) for name in sorted(names)]}

    def push(self):
        """Sends the latest changes of hosts to the open watches that are not silent."""
        for session in list(self.sessions):
            session.push()

    def set_available(self, up):
        self.available = up
        if not up:
            for session in list(self.sessions):
                session.mute = True
        else:
            for session in list(self.sessions):
                session.mute = False
                session.push()

    def set_silent(self, silent):
        """Silences the open watches for good; new ones work."""
        if silent:
            for session in list(self.sessions):
                session.mute = session.silenced = True

    def end_watches(self):
        for session in list(self.sessions):
            session.transport.abort()


class Session(asyncio.Protocol):
    def __init__(self, discovery):
        self.discovery, self.buffer = discovery, b""
        self.since, self.watching, self.pending_request = 0, False, None
        self.mute = self.silenced = False
        self.timer = None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, _):
        self.discovery.sessions.discard(self)
        if self.timer:
            self.timer.cancel()

    def data_received(self, data):
        self.buffer += data
        if b"\r\n\r\n" not in self.buffer:
            return
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        asyncio.get_running_loop().call_later(self.discovery.delay, self.handle_request, head.decode())

    def handle_request(self, head):
        if self.transport.is_closing():
            return
        discovery = self.discovery
        if not discovery.available:
            self.mute = True
            self.pending_request = head
            discovery.sessions.add(self)
            return
        if discovery.refuse:
            self.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        found = re.search(r"follow=1&since=(\d+)", head)
        if not found:
            body = json.dumps(discovery.full_list()).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            discovery.world.list_sent(discovery.gateway, 0)
            return
        self.since, self.watching = int(found.group(1)), True
        discovery.sessions.add(self)
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        if discovery.full_list_first or self.since == 0:
            self.write(json.dumps(discovery.full_list()))
            self.since = discovery.world.revision
            discovery.world.list_sent(discovery.gateway, 0)
        else:
            self.push(first=True)
        self.send_heartbeat()

    def send_heartbeat(self):
        if not self.mute:
            self.write("")
        self.timer = asyncio.get_running_loop().call_later(2.0, self.send_heartbeat)

    def push(self, first=False):
        if self.pending_request and not self.mute:
            head, self.pending_request = self.pending_request, None
            return self.handle_request(head)
        if self.mute or self.silenced or not self.watching:
            return None
        if self.since < self.discovery.world.revision or first:
            self.write(json.dumps(self.discovery.changes(self.since)))
            previous, self.since = self.since, self.discovery.world.revision
            self.discovery.world.list_sent(self.discovery.gateway, previous)
        return None

    def write(self, line):
        data = line.encode() + b"\n"
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))
