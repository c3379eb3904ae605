"""The faults of a soak test, and the schedule by which up to three of them overlap."""
import asyncio
import errno
import os
import random
import signal
import time

from gateways import ACCEPT_ERRORS, CONNECT_ERRORS, SOCKET_ERRORS, earliest_kill

MAX_OVERLAP = 3
MAX_HOLD_UP = 0.15  # seconds


def sample_gateways(world, rng, most=3):
    return rng.sample(sorted(world.gateways), rng.randint(1, min(most, len(world.gateways))))


def sample_hosts(world, rng, share=0.4):
    names = sorted(world.hosts)
    return [world.hosts[n] for n in rng.sample(names, max(1, int(len(names) * rng.uniform(0.1, share))))]


# ---- gateways ----

async def restart(world, rng, duration):
    """Some gateways are told to end, with other signals close by, and start again; some are told at once again."""
    for name in sample_gateways(world, rng, 4):
        g = world.gateways[name]
        if not g.reserve():
            continue
        await asyncio.sleep(rng.uniform(0, 0.3))
        await stop_with_other_signals(world, rng, g)
        if rng.random() < 0.25:
            await until_ready(world, g)
            await asyncio.sleep(rng.uniform(0, 0.3))
            await stop_with_other_signals(world, rng, g)
        g.release()


async def stop_with_other_signals(world, rng, g):
    process = g.process
    signals = asyncio.ensure_future(other_signals(world, rng, g, process))
    await asyncio.sleep(rng.choice([0, 0, 0.002, 0.02]))
    if rng.random() < 0.3:
        asyncio.ensure_future(hold_up_near_end(world, rng, g, process))
    await g.stop(process)
    await asyncio.sleep(rng.choice([0, 0, 0.3]))
    world.start_process(g)
    await signals


async def start_during_stop(world, rng, duration):
    """The next process of some gateways starts before the one that has been told to end has ended."""
    for name in sample_gateways(world, rng, 2):
        g = world.gateways[name]
        if not g.reserve():
            continue
        stop = asyncio.ensure_future(g.stop(g.process))
        await asyncio.sleep(rng.uniform(0, 1.0))
        world.start_process(g)
        await stop
        g.release()


async def other_signals(world, rng, g, process):
    """Signals to the same process just before and during its end."""
    for _ in range(rng.choice([0, 0, 1, 2, 3])):
        if process.poll() is not None:
            return
        which = rng.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
        if which != signal.SIGHUP and not g.stopping:
            which = signal.SIGHUP
        process.send_signal(which)
        await asyncio.sleep(rng.choice([0, 0.005, 0.05, 0.3]))


async def hold_up_near_end(world, rng, g, process):
    """The process is held up shortly before the earliest SIGKILL."""
    await asyncio.sleep(earliest_kill(world.classes) - rng.uniform(0.1, 0.4))
    await hold_up(world, g, process, rng.uniform(0.05, MAX_HOLD_UP))


async def hold_up(world, g, process, seconds):
    if process.poll() is not None:
        return
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    process.send_signal(signal.SIGCONT)
    g.held_up_until = world.now()


async def until_ready(world, g):
    end = world.now() + 5
    while "ready:" not in g.log() and world.now() < end:
        await asyncio.sleep(0.01)


async def kill(world, rng, duration):
    for name in sample_gateways(world, rng):
        g = world.gateways[name]
        if not g.reserve():
            continue
        world.kill(g)
        await asyncio.sleep(rng.choice([0, 0.5, 1]))
        world.start_process(g)
        g.release()


async def pause(world, rng, duration):
    end = world.now() + duration
    while world.now() < end:
        g = world.gateways[rng.choice(sorted(world.gateways))]
        await hold_up(world, g, g.process, rng.uniform(0.02, MAX_HOLD_UP))
        await asyncio.sleep(rng.uniform(0.05, 0.3))


async def reload_settings(world, rng, duration):
    for _ in range(rng.randint(1, 4)):
        world.settings_round += 1
        for g in world.gateways.values():
            g.reload()
        await asyncio.sleep(rng.choice([0, 0.01, 0.2]))


async def move_discovery(world, rng, duration):
    for name in sample_gateways(world, rng, 6):
        g = world.gateways[name]
        if not g.alive():
            continue
        g.discovery_index = 1 - g.discovery_index
        world.discovery_moved_at[name] = world.now()
        g.reload()


async def upgrade(world, rng, duration):
    for name in sample_gateways(world, rng, 2):
        g = world.gateways[name]
        if not g.reserve():
            continue
        first = g.process
        g.start()
        await asyncio.sleep(rng.uniform(0.3, 1.2))
        stop = asyncio.ensure_future(g.stop(first))
        await asyncio.sleep(0.05)
        g.stopping = False
        await stop
        g.release()


# ---- discovery ----

def all_discovery(world):
    return [d for pair in world.discovery.values() for d in pair]


async def discovery_down(world, rng, duration):
    for d in all_discovery(world):
        d.set_available(False)
    await asyncio.sleep(duration)
    now = world.now()
    for name in world.gateways:
        world.discovery_up_since[name] = now
    for d in all_discovery(world):
        d.set_available(True)
    if world.automatic_discovery:
        for name in world.gateways:
            for host in world.hosts.values():
                world.oracle.record_listed_state(
                    name, host.name, host.state,
                    max(now, world.discovery_moved_at[name] + 4 if now < world.discovery_moved_at[name] + 4 else now))


async def silent_watches(world, rng, duration):
    """What open watches miss from now on counts as known to the gateways after SILENT_WATCH_TIMEOUT."""
    if world.automatic_discovery:
        previous = world.automatic_discovery
        world.automatic_discovery = False
        for d in all_discovery(world):
            d.set_silent(True)
        await asyncio.sleep(7.0)
        world.automatic_discovery = previous
        return
    for d in all_discovery(world):
        d.set_silent(True)


async def watches_end(world, rng, duration):
    for d in all_discovery(world):
        d.end_watches()


async def full_lists(world, rng, duration):
    for d in all_discovery(world):
        d.full_list_first, d.omit_leaving = True, rng.random() < 0.7
    await asyncio.sleep(duration)
    for d in all_discovery(world):
        d.full_list_first = d.omit_leaving = False


# ---- hosts ----

async def drain(world, rng, duration):
    """Some hosts drain, leave, and come back as new, cold processes."""
    hosts = [h for h in sample_hosts(world, rng) if h.state == "active"]
    for h in hosts:
        world.change_host(h, "leaving")
        await asyncio.sleep(rng.uniform(0, 0.2))
    await asyncio.sleep(duration)
    for h in hosts:
        world.change_host(h, "left")
        h.stop()
    await asyncio.sleep(rng.uniform(0.2, 1))
    for h in hosts:
        await start_new_process(world, h)


async def start_new_process(world, host):
    await host.start()
    host.boot_ms = time.time() * 1000
    world.oracle.host_started_at[host.name] = world.now()
    world.change_host(host, "active")


async def crash_hosts(world, rng, duration):
    """Some hosts crash and are replaced by new processes at the same addresses."""
    hosts = [h for h in sample_hosts(world, rng) if h.state == "active"]
    for h in hosts:
        h.stop()
        h.state = "dead"
    await asyncio.sleep(rng.uniform(0.1, 1))
    for h in hosts:
        h.state = "active"
        await start_new_process(world, h)


async def hang(world, rng, duration):
    hosts = sample_hosts(world, rng)
    for h in hosts:
        h.hangs = True
    await asyncio.sleep(duration)
    for h in hosts:
        h.hangs = False
        for session in list(h.sessions):
            session.transport.abort() if session.queue else None


def host_faults(**shares):
    async def run(world, rng, duration):
        hosts = sample_hosts(world, rng, 0.6)
        for h in hosts:
            h.faults = shares
        await asyncio.sleep(duration)
        for h in hosts:
            h.faults = {}
    return run


# ---- the network ----

async def cut(world, rng, duration):
    """Some hosts become unreachable for all gateways: bytes are dropped silently."""
    names = {h.name for h in sample_hosts(world, rng)}
    proxies = [p for p in world.proxies.values() if p.host.name in names]
    for p in proxies:
        p.blackholed = True
    await asyncio.sleep(duration)
    for p in proxies:
        p.blackholed = False
        p.reset_all()


async def late_connections(world, rng, duration):
    names = {h.name for h in sample_hosts(world, rng, 0.6)}
    proxies = [p for p in world.proxies.values() if p.host.name in names]
    for p in proxies:
        p.delay_new_connections()
        p.reset_all() if rng.random() < 0.5 else None
    for _ in range(max(1, int(duration / 0.9))):
        await asyncio.sleep(0.9)
        for p in proxies:
            p.accept_new_connections()
        await asyncio.sleep(0.25)
        for p in proxies:
            p.delay_new_connections()
    for p in proxies:
        p.accept_new_connections()


async def resets(world, rng, duration):
    proxies = [p for p in world.proxies.values() if rng.random() < 0.5]
    for p in proxies:
        p.reset_share, p.split_answers = 0.2, True
    end = world.now() + duration
    while world.now() < end:
        rng.choice(sorted(world.proxies.values(), key=lambda p: (p.gateway, p.host.name))).reset_all()
        await asyncio.sleep(0.1)
    for p in proxies:
        p.reset_share, p.split_answers = 0.0, False


async def slow_reads(world, rng, duration):
    """Some hosts read commands slowly, among them large ones."""
    names = {h.name for h in sample_hosts(world, rng, 0.6)}
    proxies = [p for p in world.proxies.values() if p.host.name in names]
    for p in proxies:
        p.slow_read_share = 0.4
    for c in world.clients.values():
        c.large_share = 0.3
    await asyncio.sleep(duration)
    for p in proxies:
        p.slow_read_share = 0.0
    for c in world.clients.values():
        c.large_share = 0.0


# ---- clients ----

def client_faults(**values):
    async def run(world, rng, duration):
        chosen = [world.clients[n] for n in sorted(world.clients) if rng.random() < 0.6]
        previous = [{k: getattr(c, k) for k in values} for c in chosen]
        for c in chosen:
            for key, value in values.items():
                setattr(c, key, value)
        await asyncio.sleep(duration)
        for c, old in zip(chosen, previous):
            for key, value in old.items():
                setattr(c, key, value)
    return run


async def bad_clients(world, rng, duration):
    end = world.now() + duration
    while world.now() < end:
        c = world.clients[rng.choice(sorted(world.clients))]
        asyncio.ensure_future(rng.choice([c.send_partial_command, c.send_garbage])())
        await asyncio.sleep(0.05)


async def idle_clients(world, rng, duration):
    for name in sample_gateways(world, rng, 4):
        asyncio.ensure_future(world.clients[name].hold_idle_connections(250, duration))
    await asyncio.sleep(duration)


async def abandoned_pipelines(world, rng, duration):
    """Clients send many commands at once and close before they are answered."""
    end = world.now() + duration
    while world.now() < end:
        c = world.clients[rng.choice(sorted(world.clients))]
        c.abandon_share, previous = 0.9, c.abandon_share
        asyncio.ensure_future(c.send_requests(rng.choice([20, 70, 120])))
        await asyncio.sleep(0.05)
        c.abandon_share = previous


# ---- the machine ----

def failing_calls(*choices):
    async def run(world, rng, duration):
        chosen = [world.gateways[n] for n in sample_gateways(world, rng, 5)]
        for g in chosen:
            call, errors, share = rng.choice(choices)
            g.set_fault(call, error=rng.choice(errors), share=share)
        await asyncio.sleep(duration)
        for g in chosen:
            g.clear_faults()
    return run


async def wall_clock_steps(world, rng, duration):
    """Steps the wall clock by seconds or an hour, in either direction, while hosts start."""
    for name in sample_gateways(world, rng, 10):
        world.gateways[name].fault_plan.wall_step_ns = int(rng.choice([5, -5, 3600, -3600]) * 1e9)
    await crash_hosts(world, rng, duration)
    await asyncio.sleep(duration)


GATEWAY_FAULTS = {"restart": restart, "kill": kill, "hold_up": pause, "reload_settings": reload_settings,
                  "move_discovery": move_discovery, "upgrade": upgrade, "start_during_stop": start_during_stop}
DISCOVERY_FAULTS = {"discovery_down": discovery_down, "silent_watches": silent_watches, "watches_end": watches_end,
                    "whole_lists": full_lists}
HOST_FAULTS = {"drain": drain, "crash_hosts": crash_hosts, "hang": hang, "errors": host_faults(error=0.3, busy=0.2),
               "spoilt": host_faults(malformed=0.2, duplicate=0.3, truncated=0.1), "silent": host_faults(silent=0.3, slow=0.3), "long_values": host_faults(long=0.3)}
NETWORK_FAULTS = {"cut": cut, "late_connections": late_connections, "resets": resets, "slow_reads": slow_reads}
CLIENT_FAULTS = {"leave": client_faults(abandon_share=0.5), "pipeline": client_faults(pipeline=60),
                 "short_time": client_faults(short_deadline_share=0.6), "burst": client_faults(burst=2.5),
                 "bad_clients": bad_clients, "idle_clients": idle_clients, "pipelines_that_leave": abandoned_pipelines}
SYSTEM_FAULTS = {"accept_fails": failing_calls(("accept", ACCEPT_ERRORS, 0.3)),
                 "connect_fails": failing_calls(("socket", SOCKET_ERRORS, 0.3), ("connect", CONNECT_ERRORS, 0.3)),
                 "interrupted": failing_calls(("epoll_wait", [errno.EINTR], 0.2), ("recv", [errno.EINTR], 0.05),
                                              ("send", [errno.EINTR], 0.05)),
                 "short_calls": failing_calls(("short_recv", [0], 0.5), ("short_send", [0], 0.5)),
                 "disk": failing_calls(("bind_unix", [errno.ENOSPC, errno.EIO], 1.0)),
                 "wall_clock_steps": wall_clock_steps}
FAULT_KINDS = [GATEWAY_FAULTS, DISCOVERY_FAULTS, HOST_FAULTS, NETWORK_FAULTS, CLIENT_FAULTS, SYSTEM_FAULTS]


async def run_schedule(world, seconds):
    """Injects faults of different kinds, up to MAX_OVERLAP at a time."""
    rng = world.rng
    faults_by_name = {name: t for kind in FAULT_KINDS for name, t in kind.items()}
    only = world.options.faults.split(",") if world.options.faults else None
    end = world.now() + seconds
    running = {}
    while world.now() < end:
        running = {t: kind for t, kind in running.items() if not t.done()}
        if len(running) < MAX_OVERLAP:
            kinds = [k for k in range(len(FAULT_KINDS)) if k not in running.values() and (k != 5 or world.options.shim)]
            kind = rng.choice(kinds)
            name = rng.choice(only) if only else rng.choice(sorted(FAULT_KINDS[kind]))
            duration = rng.uniform(0.8, 4)
            world.steps.append((round(world.now() - world.began, 2), name, round(duration, 2)))
            world.active_faults.append((name, world.now() + duration + 4))
            running[asyncio.ensure_future(faults_by_name[name](world, rng, duration))] = (
                kind if not only else len(running) + 100 * len(world.steps))
        await asyncio.sleep(rng.uniform(0.1, 0.9))
    for task in running:
        try:
            await asyncio.wait_for(task, 12)
        except asyncio.TimeoutError:
            pass
    for g in world.gateways.values():
        g.clear_faults()
