"""A host crashes in the middle of a long answer while other requests of the same connection are under way."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import *  # noqa: E402,F403

LONG_VALUE = 1024 * 1024  # bytes; the pages allow 4 MiB
PIECE = 32 * 1024
PIECE_EVERY_S = 0.05
CRASH_AFTER_PIECES = 10
OTHERS = 9  # requests written right behind the one with the long answer
DEADLINE_MS = 4000
ANSWER_SLACK_MS = 500


async def play(record, folder, trouble):
    first_id = 0xB00000000000

    async def serve(host, words, writer):
        record(host.name, "begins", words[2].decode(), words[3].decode())
        if int(words[2], 16) != first_id:
            await asyncio.sleep(0.25)
            record(host.name, "has run and answers", words[2].decode())
            return served(b"value of " + words[2])
        answer = served(b"value of " + words[2] + b"." * LONG_VALUE)
        for number, start in enumerate(range(0, len(answer), PIECE)):
            if trouble and number == CRASH_AFTER_PIECES:
                record(host.name, "crashes: all of its connections are reset, new ones are refused")
                host.server.close()
                for other in list(host.writers):
                    other.transport.abort()
                return None
            writer.write(answer[start:start + PIECE])
            await writer.drain()
            await asyncio.sleep(PIECE_EVERY_S)
        record(host.name, "has given the whole long value")
        return None

    _, _, gateway, _, port, _ = await start_fleet(record, folder, serve)
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
    requests = []
    for number in range(1 + OTHERS):
        name = "stock-lookup" if number % 3 == 0 else "item-hold"
        request_id = first_id + number
        key = None if name == "stock-lookup" else f"{request_id ^ 0x5A5A:016x}"
        requests.append((f"{request_id:016x}", name))
        writer.write(command(*request_words(request_id, name, key=key, deadline_ms=DEADLINE_MS, customer=number + 1)))
    await writer.drain()
    written_at = record.now()
    record("client: the last byte of", len(requests), "requests is written")
    answers, end = [], "still open"
    try:
        while len(answers) < len(requests):
            # The time for which an answer waits for those before it does not count: long values take two seconds.
            left_s = (written_at + DEADLINE_MS + ANSWER_SLACK_MS + 3000 - record.now()) / 1000
            answer = await asyncio.wait_for(read_value(reader), max(left_s, 0.01))
            answers.append(answer)
            shown = f"{len(answer)} bytes, {answer[:25]}" if isinstance(answer, bytes) else answer
            record("client: answer to", *requests[len(answers) - 1], shown)
    except asyncio.IncompleteReadError as error:
        end = "ended by the gateway in order (FIN), all that it had received was read"
        record("client: the long value is not whole,", len(error.partial), "bytes of it have come")
    except ConnectionError as error:
        end = f"reset, bytes were unread: {error}"
    except asyncio.TimeoutError:
        pass
    record("client: the connection is", end, "after", len(answers), "answers")
    await asyncio.sleep(0.5)
    writer.close()
    if gateway.has_ended():
        raise NotRun("the gateway has ended")
    for (request_id, _), answer in zip(requests, answers):
        if isinstance(answer, bytes) and not answer.startswith(b"value of " + request_id.encode()):
            raise NotRun(f"another value for {request_id}")
    if end.startswith("reset"):
        return []
    # The request whose value was begun and can't be finished has failed; it is not lost, as its client can tell.
    first_unanswered = max(len(answers), 1)
    return [f"request {request_id} of class {name} was never answered; its connection is {end}"
            for request_id, name in requests[first_unanswered:]]


run_case(play)
