"""Discovery over HTTP/1.1, with the faults that the protocol page knows."""
import asyncio
import json
import re

SILENT_AFTER = 6.0  # what a silent watch misses counts as told then


class Discovery:
    """One address of it, for one gateway. Each has two: a new configuration moves it from one to the other."""

    def __init__(self, world, gateway):
        self.world, self.gateway = world, gateway
        self.up, self.refuse, self.silent, self.whole_first, self.omit_leaving = True, False, False, False, False
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

    def whole(self):
        hosts = [h for h in self.world.hosts.values() if h.state != "left"]
        if self.omit_leaving:
            hosts = [h for h in hosts if h.state in ("active", "dead")]
        return {"rev": self.world.revision, "all": True, "targets": [self.entry(h) for h in hosts]}

    def changes(self, since):
        names = {name for rev, name in self.world.changes if rev > since}
        return {"rev": self.world.revision, "all": False,
                "targets": [self.entry(self.world.hosts[name]) for name in sorted(names)]}

    def push(self):
        """A host has changed: watches that are open and not silent are told."""
        for session in list(self.sessions):
            session.push()

    def set_up(self, up):
        self.up = up
        if not up:
            for session in list(self.sessions):
                session.mute = True
        else:
            for session in list(self.sessions):
                session.mute = False
                session.push()

    def set_silent(self, silent):
        """Open watches fall silent for good; new ones work."""
        if silent:
            for session in list(self.sessions):
                session.mute = session.dead = True

    def end_watches(self):
        for session in list(self.sessions):
            session.transport.abort()


class Session(asyncio.Protocol):
    def __init__(self, owner):
        self.owner, self.buffer = owner, b""
        self.since, self.watching, self.pending = 0, False, None
        self.mute = self.dead = False
        self.timer = None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, _):
        self.owner.sessions.discard(self)
        if self.timer:
            self.timer.cancel()

    def data_received(self, data):
        self.buffer += data
        if b"\r\n\r\n" not in self.buffer:
            return
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        asyncio.get_running_loop().call_later(self.owner.delay, self.call, head.decode())

    def call(self, head):
        if self.transport.is_closing():
            return
        owner = self.owner
        if not owner.up:
            self.mute = True
            self.pending = head
            owner.sessions.add(self)
            return
        if owner.refuse:
            self.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return
        found = re.search(r"follow=1&since=(\d+)", head)
        if not found:
            body = json.dumps(owner.whole()).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            owner.world.told(owner.gateway, 0)
            return
        self.since, self.watching = int(found.group(1)), True
        owner.sessions.add(self)
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        if owner.whole_first or self.since == 0:
            self.write(json.dumps(owner.whole()))
            self.since = owner.world.revision
            owner.world.told(owner.gateway, 0)
        else:
            self.push(first=True)
        self.beat()

    def beat(self):
        if not self.mute:
            self.write("")
        self.timer = asyncio.get_running_loop().call_later(2.0, self.beat)

    def push(self, first=False):
        if self.pending and not self.mute:
            head, self.pending = self.pending, None
            return self.call(head)
        if self.mute or self.dead or not self.watching:
            return None
        if self.since < self.owner.world.revision or first:
            self.write(json.dumps(self.owner.changes(self.since)))
            was, self.since = self.since, self.owner.world.revision
            self.owner.world.told(self.owner.gateway, was)
        return None

    def write(self, line):
        data = line.encode() + b"\n"
        if not self.transport.is_closing():
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))
