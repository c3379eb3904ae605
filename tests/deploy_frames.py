"""Runs the deploy file's `sim` command on hand-written frames and checks its replies, exit codes and messages."""
import struct
import subprocess
import sys

SIM = sys.argv[1]
CONF = (b"lanes.count=1\nlanes.0.semantics=safe\nlanes.0.slo_ms=800.0\nlanes.0.deadline_ms=2000.0\n"
        b"packages.count=1\npackages.0.quota_rate=5.0\npackages.0.burst=10.0\nsiblings=2\n")


def frame(records, tail=b"", now=1000.0):
    body = b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack("<IId", 16 + len(body), len(records), now) + body


def run_sim(data):
    done = subprocess.run(["/bin/sh", "-c", SIM], input=data, capture_output=True, timeout=60)
    return done.returncode, done.stdout, done.stderr.decode()


def replies(data):
    while data:
        size, count = struct.unpack_from("<II", data)
        yield count, data[8:size]
        data = data[size:]


switch = struct.pack("<BI", 8, 0)
host = struct.pack("<dIHHBfH", 0.0, 17, 0, 0, 1, 1.0, 0)
attach = struct.pack("<BQII", 10, 1, 0, len(CONF))
sheet = struct.pack("<BHII", 12, 0, len(CONF), 1)
member = struct.pack("<BBQH", 2, 0, 1, 0)
job = struct.pack("<BQHIQdfff", 1, 5, 0, 0, 9, 2900.0, 1.0, 2.0, 0.0)
good = frame([]) + frame([switch, attach, sheet, member], CONF + host) + frame([switch, job], now=1004.0)

code, out, err = run_sim(good)
answers = list(replies(out))
assert code == 0 and err == "", (code, err)
assert [a[0] for a in answers][0] == 0 and len(answers) == 3, answers
codes = [answers[2][1][24 * i] for i in range(answers[2][0])]
assert codes[0] == 77 and 64 in codes, codes  # the instance is selected, and an action relays the request
relay = answers[2][1][24 * codes.index(64):]
assert struct.unpack_from("<QI", relay, 1) == (5, 17), relay[:24]
assert run_sim(good)[1] == out, "the same events must give the same actions"

code, out, err = run_sim(good[:-7])
assert code != 0 and err.count("\n") == 1 and "unexpected end of input" in err, (code, err)
assert len(list(replies(out))) == 2, "a partial reply was written"
bad = CONF.replace(b"siblings=2", b"siblings=x")
code, out, err = run_sim(frame([switch, attach], bad))
assert code != 0 and out == b"" and "siblings is not a number" in err, (code, err)
print("deploy file: sim answered 3 frames and reported malformed input")
