"""Clients of a gateway whose process has been told to end.

They go on using every connection that stays open, in pipelines and in halves of commands too, until it is closed. Some
connections rest first, and new ones come for a while.
"""
import asyncio
import random

from gateways import earliest_kill

NEW_CONNECTIONS_FOR = 0.4    # seconds after SIGTERM for which new connections come
CROWD_SHARE = 0.3            # fraction of the stops during which a crowd holds many connections
MAX_REST = 0.4               # seconds between two halves of a command, or between two requests of a client that rests
MAX_PIPELINE = 6
CROWD = 60                   # clients that send during a stop with a crowd
PATIENT_CROWD = 180          # clients that complete a command just before the process has to have ended
LAST_PART = 0.35             # seconds before the earliest SIGKILL in which they do


class Stop:
    """The clients of one gateway during one stop."""

    def __init__(self, world, gateway):
        self.world, self.clients, self.gateway = world, world.clients[gateway.name], gateway
        self.earliest_kill = world.now() + earliest_kill(world.classes)
        self.end = self.earliest_kill + 1.0  # later than any connection of the process

    def begin(self):
        if not self.clients.running:
            return
        for connection in list(self.world.connections[self.gateway.name]):
            asyncio.ensure_future(self.use(connection))
        asyncio.ensure_future(self.connect_late())
        if random.random() < CROWD_SHARE:
            asyncio.ensure_future(random.choice([self.gather_crowd, self.gather_patient_crowd])())

    async def connect_late(self):
        for _ in range(6):
            await asyncio.sleep(random.uniform(0, NEW_CONNECTIONS_FOR / 6))
            connection = await self.clients.connection(new=True)
            if connection is not None:
                asyncio.ensure_future(self.use(connection))

    async def gather_crowd(self):
        """Many clients at once: some hold connections that they hardly use, some send once and rest."""
        idle = asyncio.ensure_future(
            self.clients.hold_idle_connections(random.choice([50, 150]), earliest_kill(self.world.classes)))
        for _ in range(CROWD):
            connection = await self.clients.connection(new=True)
            if connection is not None:
                asyncio.ensure_future(self.send_single(connection))
            await asyncio.sleep(NEW_CONNECTIONS_FOR / CROWD)
        await idle

    async def gather_patient_crowd(self):
        """Many clients that each send the first half of a command, and the rest near the end of the process."""
        rest_at = self.earliest_kill - LAST_PART * random.random()
        connections = await asyncio.gather(*(self.clients.connection(new=True) for _ in range(PATIENT_CROWD)))
        for connection in connections:
            if connection is not None:
                delay = rest_at + random.uniform(0, 0.01) - self.world.now()
                asyncio.ensure_future(self.send_in_halves(connection, max(delay, 0)))

    async def use(self, connection):
        behaviour = random.choice([self.send_single, self.keep_pipeline, self.send_halves, self.rest])
        while connection.usable and self.world.now() < self.end:
            if connection.paused:
                return
            await behaviour(connection)

    async def send_single(self, connection):
        if connection.usable and not connection.unanswered:
            connection.send([self.clients.new_request()])
        await asyncio.sleep(random.choice([0.001, 0.005, 0.02]))

    async def keep_pipeline(self, connection):
        missing = MAX_PIPELINE - len(connection.unanswered)
        if missing > 0:
            connection.send([self.clients.new_request() for _ in range(random.randint(1, missing))])
        await asyncio.sleep(random.choice([0.001, 0.005, 0.02]))

    async def send_halves(self, connection):
        """One command in two parts, sometimes behind a whole one."""
        if random.random() < 0.4:
            connection.send([self.clients.new_request()])
        await self.send_in_halves(connection, random.choice([0.005, 0.05, MAX_REST]) * random.random())
        await asyncio.sleep(random.choice([0.001, 0.02]))

    async def send_in_halves(self, connection, delay):
        rid, data = self.clients.new_request()
        middle = random.randrange(1, len(data))
        connection.paused = True
        connection.transport.write(data[:middle])
        await asyncio.sleep(delay)
        request = self.world.oracle.requests[rid]
        if connection.usable:
            request.sent = self.world.now()
            connection.send([(rid, data[middle:])])
        else:
            self.world.oracle.forget(rid)
        connection.paused = False

    async def rest(self, connection):
        await asyncio.sleep(random.uniform(0, MAX_REST))
        if connection.usable and not connection.unanswered and not connection.paused:
            connection.send([self.clients.new_request()])
