"""An upgrade among clients that get long values: is each request that the old process takes answered?

Clients ask on kept connections and rest between their requests. Values have 1 MiB, and hosts take 2.6 s to write
them. After SIGTERM the old process still takes requests on the connections that it keeps open.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standin import *  # noqa: E402,F403

STOP_S = 3.0 + 0.7   # from SIGTERM to SIGKILL, as the longest deadline counts as 3 s
EXCUSED_S = 0.7      # what came later than this after SIGTERM has to be answered
LONG_BYTES, LONG_S, PIECES = 1 << 20, 2.6, 52
CLIENTS = 60
REST_S = (0.8, 2.0)  # less than the 2 s after which a gateway may close a connection


async def case(record, gateways):
    async def serve(host, words):
        value = words[2].ljust(LONG_BYTES, b"v")
        reply = value_reply(value)
        await asyncio.sleep(random.uniform(0.05, 0.15))
        writer = host.writer_of[words[2]]
        step = len(reply) // PIECES
        try:
            for at in range(0, len(reply), step):
                writer.write(reply[at:at + step])
                await writer.drain()
                if at + step < len(reply):
                    await asyncio.sleep(LONG_S / PIECES)
        except ConnectionError:
            record("host", host.uid, "could not go on with", words[2].decode(), "at byte", at)
            raise
        record("host", host.uid, "has given the value of", words[2].decode())
        return b""

    hosts = [await Host(f"s-{i}", serve).start() for i in range(10)]
    discovery = await Discovery(hosts, record).start()
    classes = [request_class("stock-lookup", "safe", 4000.0, 1500.0, 2.0),
               request_class("item-hold", "keyed", 12000.0, 2500.0, 6.0)]
    gateway = Gateway(record, discovery, settings(classes, [plan("flagship", 10.0, 20.0)]))
    gateways.append(gateway)
    old = gateway.start()
    await gateway.ready(old)
    requests, stopping = [], asyncio.Event()

    async def client():
        reader = writer = None
        while not stopping.is_set():
            if reader is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=8 << 20)
            await asyncio.sleep(random.uniform(*REST_S))
            if reader.at_eof() or stopping.is_set():
                reader = None
                continue
            request = {"id": request_id(), "outcome": "unanswered", "bytes": 0}
            requests.append(request)
            try:
                writer.write(command(True, random.getrandbits(32), request["id"], "stock-lookup", "flagship", 4000))
                request["sent"] = time.monotonic()
                record("sent", request["id"])
                line = await read_line(reader)
                if line[:1] == b"$":
                    request["outcome"] = "cut"
                    size = int(line[1:]) + 2
                    while request["bytes"] < size:
                        part = await reader.read(min(65536, size - request["bytes"]))
                        if not part:
                            raise ConnectionError
                        request["bytes"] += len(part)
                    request["outcome"] = "value"
                else:
                    request["outcome"] = line.decode().split(" ")[0]
            except (ConnectionError, asyncio.IncompleteReadError):
                reader = None
            request["ended"] = time.monotonic()
            record("answer to", request["id"], request["outcome"], request["bytes"], "bytes")

    clients = [asyncio.create_task(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(8)
    told_to_end = None
    if trouble():
        new = gateway.start()
        await gateway.ready(new)
        old.send_signal(signal.SIGTERM)
        told_to_end = time.monotonic()
        record.say("the new process is ready: SIGTERM to the old one")
        await asyncio.sleep(STOP_S)
        record.say("old process at SIGKILL:", "ended" if old.poll() is not None else "runs")
        if old.poll() is None:
            old.kill()
    await asyncio.sleep(5)
    stopping.set()
    await asyncio.wait(clients, timeout=8)

    counts = {}
    for request in requests:
        counts[request["outcome"]] = counts.get(request["outcome"], 0) + 1
    lost = [request for request in requests if request["outcome"] == "cut"
            and (told_to_end is None or request["sent"] > told_to_end + EXCUSED_S)]
    for request in lost:
        record(f"lost: {request['id']}, sent {request['sent'] - (told_to_end or 0):.2f} s after SIGTERM, cut after "
               f"{request['ended'] - request['sent']:.2f} s and {request['bytes']} bytes")
    record.say("requests:", counts, "lost, taken later than 0.7 s after SIGTERM:", len(lost))
    if not counts.get("value"):
        return CANNOT_RUN
    return BROKEN if lost else HELD

main(os.path.dirname(os.path.abspath(__file__)), case)
