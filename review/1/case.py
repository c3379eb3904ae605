"""A class vanishes at SIGHUP while requests that a client wrote at once are under way on one connection."""
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import *  # noqa: E402,F403

RELEASE = request_class("item-release", "keyed", 2500.0, 12000.0, 3.0, 25000.0)
CLASSES = [LOOKUP, HOLD, RELEASE]
MIX = ["stock-lookup", "stock-lookup", "item-hold", "stock-lookup", "item-release"]  # as often as each stands here
REQUESTS = 120
FIRST_ANSWER_S = 0.45  # the longest work of a hold on the users' page
SIGHUP_AFTER_S = 0.2
DEADLINE_MS = 4000  # of each request, as its client says
ANSWER_SLACK_MS = 500  # after its time; later, or never, a request is lost


async def play(record, folder, trouble):
    randoms = random.Random(1)
    first_id = 0xA00000000000 + randoms.getrandbits(32)

    async def serve(host, words, _writer):
        record(host.name, "begins", words[2].decode(), words[3].decode())
        is_first = int(words[2], 16) == first_id
        lookup = words[0].upper() == b"SVC.QUERY"
        await asyncio.sleep(FIRST_ANSWER_S if is_first else randoms.uniform(0.12, 0.2) if lookup
                            else randoms.uniform(0.25, 0.45))
        record(host.name, "answers", words[2].decode())
        return served(b"value of " + words[2])

    _, _, gateway, base, port, _ = await start_fleet(record, folder, serve, hosts=12, classes=CLASSES)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    requests = []
    for number in range(REQUESTS):
        name = "item-hold" if number == 0 else MIX[number % len(MIX)]
        request_id = first_id + number
        key = None if name == "stock-lookup" else f"{request_id ^ 0x5A5A:016x}"
        requests.append((f"{request_id:016x}", name))
        writer.write(command(*request_words(request_id, name, key=key, deadline_ms=DEADLINE_MS,
                                            customer=number % 40 + 1)))
    await writer.drain()
    written_at = record.now()
    record("client: the last byte of", REQUESTS, "requests is written")

    async def change_settings():
        await asyncio.sleep(SIGHUP_AFTER_S)
        gateway.write_config(dict(base, settings=settings([LOOKUP, HOLD])))
        gateway.signal(signal.SIGHUP)

    change = asyncio.create_task(change_settings()) if trouble else None
    answers, end = [], "still open"
    try:
        while len(answers) < REQUESTS:
            left_s = (written_at + DEADLINE_MS + ANSWER_SLACK_MS - record.now()) / 1000
            answers.append(await asyncio.wait_for(read_value(reader), max(left_s, 0.01)))
            record("client: answer to", *requests[len(answers) - 1], answers[-1])
    except asyncio.IncompleteReadError:
        end = "ended by the gateway in order (FIN), all that it had received was read"
    except ConnectionError as error:
        end = f"reset, bytes were unread: {error}"
    except asyncio.TimeoutError:
        pass
    record("client: the connection is", end, "after", len(answers), "answers")
    if change:
        await change
    await asyncio.sleep(1)
    if gateway.has_ended():
        raise NotRun("the gateway has ended")
    if trouble and "reloaded settings are in use" not in gateway.log_text():
        raise NotRun("the gateway did not take the new settings")
    writer.close()
    for (request_id, name), answer in zip(requests, answers):
        own = isinstance(answer, bytes) and answer == b"value of " + request_id.encode()
        if isinstance(answer, bytes) and not own:
            raise NotRun(f"another value for {request_id}: {answer}")
    record("answers:", dict(collections.Counter((name, "served" if isinstance(a, bytes) else a)
                                                for (_, name), a in zip(requests, answers))))
    if end.startswith("reset"):
        return []  # the requests may have been unread: the client would send them once more
    return [f"request {request_id} of class {name}, written {SIGHUP_AFTER_S} s before the new settings, was never "
            f"answered; its connection is {end}" for request_id, name in requests[len(answers):]]


run_case(play)
