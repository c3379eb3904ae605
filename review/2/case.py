"""A client reads a long answer for some seconds and writes its next request meanwhile."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import *  # noqa: E402,F403

LONG_VALUE = 1024 * 1024  # bytes; the pages allow 4 MiB
SLOW_PIECE, SLOW_EVERY_S = 16 * 1024, 0.1  # what a slow client reads; the value takes it 6.5 s
FAST_PIECE = 1 << 20
NEXT_REQUEST_AFTER_S = 3.0
DEADLINE_MS = 4000


async def read_line_and_value(loop, client, piece, pause_s, record, on_read):
    """Reads the answer to one request in pieces. Returns its bytes, whole or not, and how the connection ended."""
    data, shown = b"", 0
    while True:
        header, _, value = data.partition(b"\r\n")
        if header.startswith(b"$") and len(value) >= int(header[1:]) + 2:
            return data, ""
        if header.startswith(b"-") and data.endswith(b"\r\n"):
            return data, ""
        try:
            received = await loop.sock_recv(client, piece)
        except ConnectionError as error:
            return data, f"reset by the gateway: {error}"
        if not received:
            return data, "ended by the gateway"
        data += received
        if len(data) - shown >= 256 * 1024 or not shown:
            shown = len(data)
            record("client: has read", shown, "bytes of the answer")
        await on_read()
        await asyncio.sleep(pause_s)


async def play(record, folder, trouble):
    loop = asyncio.get_running_loop()
    ids = [0xE00000000001, 0xE00000000002]

    async def serve(host, words, _writer):
        record(host.name, "begins", words[2].decode(), words[3].decode())
        await asyncio.sleep(0.15)
        is_long = int(words[2], 16) == ids[0]
        value = b"value of " + words[2] + b"." * (LONG_VALUE if is_long else 0)
        record(host.name, "answers", words[2].decode(), "with", len(value), "bytes at once")
        return served(value)

    _, _, gateway, _, port, admin_port = await start_fleet(record, folder, serve, admin=True)
    client = socket.create_connection(("127.0.0.1", port))
    client.setblocking(False)
    requests = [command(*request_words(request_id, "stock-lookup", deadline_ms=DEADLINE_MS, customer=3 + number))
                for number, request_id in enumerate(ids)]
    await loop.sock_sendall(client, requests[0])
    written_at = record.now()
    record("client: the last byte of the first request is written")
    next_written = False

    async def write_next():
        nonlocal next_written
        if next_written or record.now() - written_at < NEXT_REQUEST_AFTER_S * 1000:
            return
        next_written = True
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(client, requests[1])
        record("client: the next request is written on the same connection")

    answer, end = await read_line_and_value(loop, client, SLOW_PIECE if trouble else FAST_PIECE,
                                            SLOW_EVERY_S if trouble else 0, record, write_next)
    record("client: of the first answer", len(answer), "bytes have been read;", end or "it is whole")
    client.close()
    # Whatever happened to the next request, it crossed a close at worst: its client sends it once more.
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(requests[1])
    record("client: answer to the next request, on a new connection:", await asyncio.wait_for(read_value(reader), 5))
    writer.close()
    _, figures = await operator_call(admin_port, "GET", "/_vars")
    for line in figures.splitlines():
        if ".passed:" in line or ".closed.idle:" in line:
            record("figures:", line)
    if gateway.has_ended():
        raise NotRun("the gateway has ended")
    if not answer.startswith(b"$") and not end:
        raise NotRun(f"the first request was not served: {answer[:60]}")
    if not end:
        return []
    return [f"the answer to request {ids[0]:016x} was cut at {len(answer)} of {LONG_VALUE} bytes "
            f"{(record.now() - written_at) / 1000:.1f} s after the request, while its client was reading it; the "
            f"connection was {end}; the host had given the whole value"]


run_case(play)
