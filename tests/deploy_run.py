"""Starts the deploy file's `run` command on loopback: it answers PING, exits with 0 on SIGTERM, and names the field at
fault in a bad configuration."""
import copy
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile

CONFIG = {
    "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "known": {"rev": 1, "all": True, "targets": [
        {"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "pod_group": 0, "state": "active",
         "capacity_hint": 1.0, "boot_ms": 0}]},
    "settings": {
        "az": 0, "granularity_ms": 4.0, "siblings": 2, "zones": ["a"], "host_types": ["m"],
        "lanes": [{"name": "lookup", "semantics": "safe", "slo_ms": 800.0, "deadline_ms": 2000.0, "worth": 1.0}],
        "packages": [{"name": "team", "quota_rate": 5.0, "burst": 10.0, "pays": 1.0, "overrun_cost": 1.0,
                      "beyond_earns": 0.0, "hard_rate": 0.0, "hard_burst": 0.0, "ceiling_slack": 0.0,
                      "concurrency": 0}],
        "ceilings": {"second_copies": True, "cancel": True, "retry_after": True, "max_attempts": 4,
                     "max_open": 1000, "max_retry_after_ms": 1000.0, "conn_idle_ms": 15000.0,
                     "connect_timeout_ms": 250.0},
        "rules": {"cold_from": 0.2, "warm_after_ms": 10000.0, "overload_factor": 2.0, "fall_ms": 1000.0},
        "family_info": {"units_top": 4}, "something_new": {"of_later": 1}}}


def start(config, folder, run, preexec_fn=None, **environment):
    path = os.path.join(folder, "config.json")
    with open(path, "w", encoding="utf-8") as file:
        file.write(config if isinstance(config, str) else json.dumps(config))
    env = dict(os.environ, EDGE_NAME="n0", EDGE_LISTEN="127.0.0.1:0", EDGE_DISCOVERY="127.0.0.1:9",
               EDGE_CONFIG=path, **environment)
    return subprocess.Popen(["/bin/sh", "-c", run], env=env, stdin=subprocess.DEVNULL, stderr=subprocess.PIPE,
                            text=True, preexec_fn=preexec_fn)


def wait_until_ready(node):
    """Waits until the gateway logs that it is ready; returns the address that it listens on."""
    lines = []
    for line in node.stderr:
        lines.append(line)
        if line.startswith("ready"):
            host, port = line.split()[-1].rsplit(":", 1)
            return host, int(port)
    raise AssertionError(f"the gateway exited with {node.wait()}: {''.join(lines)}")


def main():
    with tempfile.TemporaryDirectory() as folder:
        node = start(CONFIG, folder, RUN)
        with socket.create_connection(wait_until_ready(node), timeout=30) as client:
            client.sendall(b"*1\r\n$4\r\nPING\r\n")
            assert client.recv(100) == b"+PONG\r\n"
        node.send_signal(signal.SIGTERM)
        node.stderr.read()
        assert node.wait(timeout=60) == 0, node.returncode

        for path, value, field in [(("settings", "siblings"), None, "siblings"),
                                   (("settings", "lanes", 0, "deadline_ms"), "x", "deadline_ms"),
                                   (("settings", "packages", 0, "name"), None, "packages.0.name"),
                                   (("limits", "sockets"), "many", "sockets"),
                                   (("known",), None, "known")]:
            bad = copy.deepcopy(CONFIG)
            parent = bad
            for step in path[:-1]:
                parent = parent[step]
            if value is None:
                del parent[path[-1]]
            else:
                parent[path[-1]] = value
            node = start(bad, folder, RUN)
            text = node.stderr.read()
            assert node.wait(timeout=60) == 1 and text.count("\n") == 1 and field in text, (node.returncode, text)
        node = start("{", folder, RUN)
        text = node.stderr.read()
        assert node.wait(timeout=60) == 1 and text.count("\n") == 1 and "not JSON" in text, text
    print("deploy file: the gateway started, answered PING and stopped on SIGTERM; it reported bad configurations")


if __name__ == "__main__":
    RUN = sys.argv[1]
    main()
