"""Runs gateways as real processes, with the shim that makes their system calls fail."""
import asyncio
import ctypes
import errno
import json
import mmap
import os
import signal
import subprocess

CALLS = ["accept", "socket", "connect", "epoll_wait", "recv", "send", "short_recv", "short_send", "bind_unix",
         "write_file", "read_file"]  # in the order of `enum call` in fault_shim.c
KILL_DELAY = 0.7                # seconds from SIGTERM until SIGKILL, beyond the longest deadline
EXCUSED_DELAY = 0.7             # seconds after SIGTERM: SIGKILL may find unanswered what was sent up to then
MAX_COUNTED_DEADLINE = 3.0      # seconds; a longer deadline does not delay SIGKILL further
HELD_UP_RECENTLY = 0.3          # seconds; a process that was held up so late may not end in time
TERMINATION_POLL = 0.01         # seconds between two looks at a process that has been told to end


def earliest_kill(classes):
    """Seconds from SIGTERM until the platform may send SIGKILL."""
    longest = max(c["deadline_ms"] for c in classes.values()) / 1000
    return min(longest, MAX_COUNTED_DEADLINE) + KILL_DELAY


class Fault(ctypes.Structure):
    _fields_ = [("error", ctypes.c_int32), ("next", ctypes.c_int32), ("share", ctypes.c_int32), ("hits", ctypes.c_int32)]


class FaultPlan(ctypes.Structure):
    _fields_ = [("wall_step_ns", ctypes.c_int64), ("faults", Fault * len(CALLS))]


CLIENTS_PORT, ADMIN_PORT = 7000, 7001


class Gateway:
    """One gateway of the fleet: its processes run one after another, two at a time during an upgrade."""

    def __init__(self, world, name, number, options):
        self.world, self.name, self.number, self.options = world, name, number, options
        # An address of its own on loopback, so that its ports can't collide with ephemeral ports.
        self.address = f"127.{64 + os.getpid() % 128}.{number // 200}.{1 + number % 200}"
        self.folder = os.path.join(options.folder, name)
        os.makedirs(self.folder, exist_ok=True)
        self.config_path = os.path.join(self.folder, "config.json")
        self.discovery_index = 0      # which of its two discovery addresses it uses
        self.process, self.log_path, self.admin_port = None, None, ADMIN_PORT
        self.processes = 0
        self.stopping = False
        self.ready_at = None
        self.reserved = False
        self.held_up_until = -100.0
        self.terminated_at = -100.0             # SIGTERM
        self.killed_while_stopping_at = -100.0  # SIGKILL came after SIGTERM
        self.value_moved_at_kill = False        # and it cut off a value that may be cut off then
        self.fault_plan_path = os.path.join(self.folder, "plan")
        with open(self.fault_plan_path, "wb") as file:
            file.write(bytes(ctypes.sizeof(FaultPlan)))
        with open(self.fault_plan_path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), 0)
        self.fault_plan = FaultPlan.from_buffer(self.memory)

    def set_fault(self, call, error=0, next_calls=0, share=0.0):
        f = self.fault_plan.faults[CALLS.index(call)]
        f.error, f.share, f.next = error, int(share * 65536), next_calls

    def clear_faults(self):
        for f in self.fault_plan.faults:
            f.next = f.share = 0

    def write_config(self):
        config = self.world.config(self)
        temporary = self.config_path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(temporary, self.config_path)

    def start(self):
        self.processes += 1
        self.admin_port = ADMIN_PORT + self.processes % 50  # both processes of an upgrade need one of their own
        self.write_config()
        self.log_path = os.path.join(self.folder, f"log-{self.processes}")
        env = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN=f"{self.address}:{CLIENTS_PORT}",
                   EDGE_DISCOVERY=f"127.0.0.1:{self.world.discovery[self.name][self.discovery_index].port}",
                   EDGE_CONFIG=self.config_path, EDGE_ADMIN=f"{self.address}:{self.admin_port}", TMPDIR=self.folder,
                   FAULT_SHIM_PLAN=self.fault_plan_path, FAULT_SHIM_SEED=str(self.options.seed * 1000 + self.processes),
                   ASAN_OPTIONS="verify_asan_link_order=0:detect_leaks=0")
        if self.options.shim:
            env["LD_PRELOAD"] = self.options.shim
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(self.options.command, env=env, stdin=subprocess.DEVNULL, stderr=log)
        self.stopping = False
        return self.process

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def reserve(self):
        """For a fault that ends its process; false if another one does so, or it has none."""
        if self.reserved or self.stopping or not self.alive():
            return False
        self.reserved = True
        return True

    def release(self):
        self.reserved = False

    def signal(self, which):
        if self.alive():
            self.process.send_signal(which)

    def reload(self):
        self.write_config()
        self.signal(signal.SIGHUP)

    async def stop(self, process=None):
        """Sends SIGTERM, and SIGKILL if the process still runs when the platform would send it."""
        process = process or self.process
        if process is None or process.poll() is not None:
            return
        self.stopping = True
        self.terminated_at = self.world.now()
        process.send_signal(signal.SIGTERM)
        end = self.world.now() + earliest_kill(self.world.classes) + self.world.lag()
        self.world.on_termination(self)
        while process.poll() is None and self.world.now() < end:
            await asyncio.sleep(TERMINATION_POLL)
        if process.poll() is None:
            self.killed_while_stopping_at = self.world.now()
            process.kill()
            self.world.note("stop", f"{self.name} had to be killed after SIGTERM")
            if self.world.now() - self.held_up_until > HELD_UP_RECENTLY:  # otherwise only unanswered requests count
                self.world.on_late_stop(self)
        elif process.returncode != 0:
            self.world.report_crash(self, process)

    def kill(self):
        if self.alive():
            self.process.kill()
            self.process.wait()
            self.world.oracle.gateway_crashed(self.name)

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


ACCEPT_ERRORS = [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EINTR]
SOCKET_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS]
CONNECT_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED, errno.EINTR, errno.ETIMEDOUT]
