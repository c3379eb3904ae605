"""Replies that wait behind an unanswered command: does the gateway stay under its memory limit?

Clients write 64 commands at once on a connection, 280 requests a second in all, a quarter of them item-hold, which the
settings mark as unsafe. Lookups get values of 64 KiB. For six seconds some of the answers to item-hold get lost: 15% of them, 4% of all.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standin import *  # noqa: E402,F403

MEMORY_MB = 32
REQUESTS_PER_S = 280
COMMANDS_AT_ONCE = 64
HOLD_SHARE = 0.26
VALUE_BYTES = 64 * 1024
QUIET_S, TROUBLE_S, AFTER_S = 4, 6, 12
LOST_SHARE = 0.15  # of the answers to item-hold, so 4% of all
DEADLINE_MS = {"stock-lookup": 4000, "item-hold": 12000}


async def case(record, gateways):
    losing = False
    counts = {"sent": 0, "lost by a host": 0}

    async def serve(host, words):
        await asyncio.sleep(random.uniform(0.05, 0.15))
        if words[0] == b"SVC.QUERY":
            return value_reply(words[2].ljust(VALUE_BYTES, b"x"))
        if losing and random.random() < LOST_SHARE:
            counts["lost by a host"] += 1
            record("host", host.uid, "ran", words[2].decode(), "and its answer got lost")
            return None
        return value_reply(words[2])

    hosts = [await Host(f"s-{i}", serve).start() for i in range(10)]
    discovery = await Discovery(hosts, record).start()
    classes = [request_class("stock-lookup", "safe", 4000.0, 1500.0, 2.0),
               request_class("item-hold", "unsafe", 12000.0, 2500.0, 6.0)]
    gateway = Gateway(record, discovery, settings(classes, [plan("flagship", 10.0, 20.0)]), memory_mb=MEMORY_MB)
    gateways.append(gateway)
    process = gateway.start()
    await gateway.ready(process)

    def answered(words, answer):
        kind = "value" if isinstance(answer, bytes) else answer.split(" ")[0]
        record("answer to", words[2], kind, len(answer))
        counts[kind] = counts.get(kind, 0) + 1

    async def client():
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port, limit=1 << 20)
        commands, sent = [], []
        for _ in range(COMMANDS_AT_ONCE):
            name = "item-hold" if random.random() < HOLD_SHARE else "stock-lookup"
            words = [name == "stock-lookup", random.getrandbits(32), request_id(), name, "flagship", DEADLINE_MS[name]]
            commands.append(command(*words))
            sent.append(words)
            record("sent", words[2], name)
        counts["sent"] += len(sent)
        writer.write(b"".join(commands))
        for words in sent:
            answered(words, await read_reply(reader))
        writer.close()

    peak, killed = 0, False

    async def platform():
        """Kills a gateway that is over its memory limit, as DEPLOY says."""
        nonlocal peak, killed
        while not killed:
            used = gateway.anonymous_bytes(process)
            peak = max(peak, used)
            record("memory", used)
            if used > MEMORY_MB * 1024 * 1024:
                record.say(f"the gateway uses {used / 2**20:.1f} MiB of {MEMORY_MB}: killed")
                process.kill()
                killed = True
            await asyncio.sleep(0.05)

    watch = asyncio.create_task(platform())
    clients = []
    begin = time.monotonic()
    while (elapsed := time.monotonic() - begin) < QUIET_S + TROUBLE_S + AFTER_S and not killed:
        losing = trouble() and QUIET_S <= elapsed < QUIET_S + TROUBLE_S
        clients.append(asyncio.create_task(client()))
        await asyncio.sleep(COMMANDS_AT_ONCE / REQUESTS_PER_S)
    results = await asyncio.gather(*clients, return_exceptions=True)
    watch.cancel()
    cut = sum(isinstance(result, Exception) for result in results)
    record.say("peak MiB:", round(peak / 2**20, 1), "connections cut:", cut, counts)
    if killed:
        return BROKEN
    return HELD if process.poll() is None and not cut else CANNOT_RUN

main(os.path.dirname(os.path.abspath(__file__)), case)
