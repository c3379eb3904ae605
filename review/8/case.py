"""A host hangs in the middle of a long value: are the requests behind it on the connection answered?

A client writes ten commands at once; the first one's value has 1 MiB. The host that gives it hangs after half of it: its
connections stay open and silent. The other hosts run and answer the commands behind it.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standin import *  # noqa: E402,F403

LONG_BYTES = 1 << 20
COMMANDS = 10
CLIENTS = 3
LONGEST_TIME_S = 12.0  # item-hold's deadline, the longest that a client waits
EXCUSED_S = 0.5


async def case(record, gateways):
    long_ids, ran = set(), {}

    async def serve(host, words):
        identity = words[2].decode()
        if host.hung:
            record("host", host.uid, "hangs, and got", identity)
            return None
        long_value = identity in long_ids
        await asyncio.sleep(random.uniform(0.12, 0.2))
        if long_value and trouble() and not any(other.hung for other in hosts):
            host.hung = True
            reply = value_reply(words[2].ljust(LONG_BYTES, b"v"))
            writer = host.writer_of[words[2]]
            writer.write(reply[:LONG_BYTES // 2])
            await writer.drain()
            record("host", host.uid, "hangs from now on, in the value of", identity)
            return None
        ran[identity] = host.uid
        record("host", host.uid, "ran and answered", identity)
        return value_reply(words[2].ljust(LONG_BYTES, b"v") if long_value else words[2])

    hosts = [await Host(f"s-{i}", serve).start() for i in range(10)]
    discovery = await Discovery(hosts, record).start()
    classes = [request_class("stock-lookup", "safe", 4000.0, 1500.0, 2.0),
               request_class("item-hold", "keyed", 12000.0, 2500.0, 6.0)]
    gateway = Gateway(record, discovery, settings(classes, [plan("flagship", 10.0, 20.0)]))
    gateways.append(gateway)
    process = gateway.start()
    await gateway.ready(process)
    counts = {}
    warm = asyncio.create_task(steady_client(record, gateway, counts))
    await asyncio.sleep(1.5)
    warm.cancel()

    async def client():
        """Returns the requests that were answered, those that were not, and how the connection ended."""
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=8 << 20)
        commands, waiting, answered = [], [], []
        for number in range(COMMANDS):
            identity, hold = request_id(), number % 4 == 3
            if number == 0:
                long_ids.add(identity)
            waiting.append(identity)
            commands.append(command(not hold, random.getrandbits(32), identity, "item-hold" if hold else "stock-lookup",
                                    "flagship", 12000 if hold else 4000, key=identity if hold else None))
            record("sent", identity, "hold" if hold else "lookup", "long" if number == 0 else "")
        writer.write(b"".join(commands))
        end = "open"
        try:
            while waiting:
                answer = await asyncio.wait_for(read_reply(reader), LONGEST_TIME_S + EXCUSED_S)
                identity = waiting.pop(0)
                answered.append(identity)
                record("answer to", identity, "value" if isinstance(answer, bytes) else answer, len(answer))
        except asyncio.IncompleteReadError:
            end = "ended"
        except ConnectionError:
            end = "reset"  # bytes may have been unread: the client may send those requests once more
        except asyncio.TimeoutError:
            end = "silent"
        record("connection", end, "answered", len(answered), "unanswered", len(waiting))
        writer.close()
        return answered, waiting, end

    results = [await client()] + list(await asyncio.gather(*[client() for _ in range(CLIENTS - 1)]))
    behind = [identity for _, waiting, end in results if end in ("ended", "silent") for identity in waiting
              if identity not in long_ids and identity in ran]
    for identity in behind:
        record("lost:", identity, "ran at", ran[identity], "and was answered there, but not to its client")
    record.say("answered:", sum(len(answered) for answered, _, _ in results), "of", COMMANDS * CLIENTS,
               "connections:", [end for _, _, end in results], "run, answered by their hosts and lost:", len(behind))
    if process.poll() is not None or not counts.get("value"):
        return CANNOT_RUN
    return BROKEN if behind else HELD

main(os.path.dirname(os.path.abspath(__file__)), case)
