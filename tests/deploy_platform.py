"""Checks the program of the deploy file's `run` command against the platform's restrictions: how it is linked and what
it imports, read from the ELF file; and whether it runs with the restricted system calls refused and without a usable
TMPDIR."""
import ctypes
import errno
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile

import deploy_run

RUN = sys.argv[1]
PROGRAM = RUN.split()[-1]

# Imports that could start a program or make a system call that the platform refuses, each with the reason why it is
# imported nevertheless. None of them is called: the runs below refuse them all.
ALLOWED_IMPORTS = {
    "sendfile": "std::filesystem::copy_file, in an object file of libstdc++ that also handles paths; no files are copied",
    "syscall": "futex waits of libstdc++'s static initialisation and of Boost.Asio's threads",
}
RESTRICTED_IMPORTS = re.compile(r"^(v?fork|_Fork|clone\d?|exec\w*|fexecve|posix_spawnp?|popen|system|daemon|forkpty|wordexp|"
                     r"io_uring\w*|splice|vmsplice|tee|sendfile(64)?|copy_file_range|syscall|dlopen|dlmopen)$")


def readelf(*options):
    return subprocess.run(["readelf", "-W", *options, PROGRAM], check=True, capture_output=True, text=True).stdout


def check_file():
    assert RUN == "exec " + PROGRAM, f"`run` does not exec a single process: {RUN}"
    assert "Requesting program interpreter" in readelf("-l"), "not linked dynamically"
    needed = re.findall(r"\(NEEDED\).*\[(.+)\]", readelf("-d"))
    assert "libc.so.6" in needed, f"not linked dynamically against the C library: {needed}"
    imported = {line.split()[7].split("@")[0] for line in readelf("--dyn-syms").splitlines()
                if " UND " in line and len(line.split()) > 7}
    restricted = {name for name in imported if RESTRICTED_IMPORTS.match(name)}
    assert restricted <= set(ALLOWED_IMPORTS), \
        f"imports without a stated reason: {sorted(restricted - set(ALLOWED_IMPORTS))}"
    assert "malloc" in imported, "the import table could not be read"


# Classic BPF over struct seccomp_data: the call's number at offset 0, the low half of its first argument at 16.
LOAD, EQUAL, ANY_BIT, RETURN = 0x20, 0x15, 0x45, 0x06
ALLOW, REFUSE = 0x7FFF0000, 0x00050000
CLONE_THREAD = 0x00010000
REFUSED = {57: errno.ENOSYS, 58: errno.ENOSYS, 435: errno.ENOSYS,  # fork, vfork, clone3
           425: errno.ENOSYS, 426: errno.ENOSYS, 427: errno.ENOSYS,  # io_uring
           40: errno.ENOSYS, 275: errno.EINVAL, 276: errno.EINVAL, 278: errno.EINVAL}  # sendfile, splice, tee, vmsplice


def refuse_calls():
    """Runs in the child before exec: installs a seccomp filter like the platform's. Call numbers are those of x86-64."""
    code = [(LOAD, 0, 0, 0)]
    for number, error in REFUSED.items():
        code += [(EQUAL, 0, 1, number), (RETURN, 0, 0, REFUSE | error)]
    code += [(EQUAL, 0, 3, 56), (LOAD, 0, 0, 16), (ANY_BIT, 1, 0, CLONE_THREAD),
             (RETURN, 0, 0, REFUSE | errno.ENOSYS), (RETURN, 0, 0, ALLOW)]
    text = ctypes.create_string_buffer(b"".join(struct.pack("=HBBI", *step) for step in code))
    program = ctypes.create_string_buffer(struct.pack("@HxxxxxxP", len(code), ctypes.addressof(text)))
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(38, 1, 0, 0, 0) or libc.prctl(22, 2, program, 0, 0):  # no new privileges; the filter
        os._exit(100)


def refused_fork():
    """Whether the filter works: a shell that has to fork fails under it."""
    return subprocess.run(["/bin/sh", "-c", "/bin/true; /bin/true"], preexec_fn=refuse_calls,
                          capture_output=True, check=False).returncode != 0


def check_serves(folder, tmpdir):
    node = deploy_run.start(deploy_run.CONFIG, folder, run=RUN, preexec_fn=refuse_calls, TMPDIR=tmpdir)
    address = deploy_run.wait_until_ready(node)
    with socket.create_connection(address, timeout=30) as client:
        client.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert client.recv(100) == b"+PONG\r\n"
    with open(f"/proc/{node.pid}/cmdline", "rb") as line:  # the shell has exec'd the gateway
        assert PROGRAM.encode() in line.read().split(b"\0")[0]
    with open(f"/proc/{node.pid}/task/{node.pid}/children", encoding="ascii") as children:
        assert not children.read().strip()
    node.send_signal(signal.SIGTERM)
    node.stderr.read()
    assert node.wait(timeout=60) == 0, node.returncode


check_file()
if os.uname().machine == "x86_64":
    assert refused_fork(), "the seccomp filter has no effect: the test would pass for any program"
    with tempfile.TemporaryDirectory() as scratch:
        read_only = os.path.join(scratch, "read-only")
        os.mkdir(read_only, 0o555)
        a_file = os.path.join(scratch, "file")
        with open(a_file, "w", encoding="ascii"):
            pass
        for tmpdir in (scratch, os.path.join(scratch, "missing"), a_file, read_only, scratch + "/" + "long" * 40, ""):
            check_serves(scratch, tmpdir)
print("deploy file: one process, dynamically linked, runs without the refused system calls and a usable TMPDIR")
