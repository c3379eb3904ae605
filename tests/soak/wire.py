"""RESP2 for clients and hosts: an encoder and an incremental parser."""


def encode(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        data = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(parts)


class ProtocolError(Exception):
    """Raised for bytes that are not RESP2."""


class Reader:
    """Parses bytes to values: bytes for bulk strings, str for simple strings, int, None, list, or Error."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data):
        self.buffer += data

    def next(self):
        """The next value, or `Reader.MORE` if it is incomplete."""
        value, end = self._parse(0)
        if end is not None:
            del self.buffer[:end]
            return value
        return Reader.MORE

    MORE = object()

    def _line(self, at):
        end = self.buffer.find(b"\r\n", at)
        return (None, None) if end < 0 else (bytes(self.buffer[at:end]), end + 2)

    def _parse(self, at):
        if at >= len(self.buffer):
            return None, None
        kind = self.buffer[at:at + 1]
        line, end = self._line(at + 1)
        if end is None:
            return None, None
        if kind == b"+":
            return line.decode(), end
        if kind == b"-":
            return Error(line.decode("latin-1")), end
        if kind == b":":
            return int(line), end
        if kind == b"$":
            size = int(line)
            if size < 0:
                return None, end
            if len(self.buffer) < end + size + 2:
                return None, None
            return bytes(self.buffer[end:end + size]), end + size + 2
        if kind == b"*":
            items = []
            for _ in range(int(line)):
                item, end = self._parse(end)
                if end is None:
                    return None, None
                items.append(item)
            return items, end
        raise ProtocolError(bytes(self.buffer[at:at + 40]))


class Error(str):
    """An error reply, without its leading '-'."""
