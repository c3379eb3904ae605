"""The faults of a soak, and the schedule that lets two or three of them overlap."""
import asyncio
import errno
import os
import random
import signal
import time

from gateways import ACCEPT_ERRORS, CONNECT_ERRORS, SOCKET_ERRORS

OVERLAP = 3


def some_gateways(world, draw, most=3):
    return draw.sample(sorted(world.gateways), draw.randint(1, min(most, len(world.gateways))))


def some_hosts(world, draw, share=0.4):
    names = sorted(world.hosts)
    return [world.hosts[n] for n in draw.sample(names, max(1, int(len(names) * draw.uniform(0.1, share))))]


# ---- gateways ----

async def restart(world, draw, span):
    for name in some_gateways(world, draw, 4):
        g = world.gateways[name]
        if not g.alive() or g.stopping:
            continue
        await asyncio.sleep(draw.uniform(0, 0.3))
        await g.stop()
        await asyncio.sleep(draw.choice([0, 0, 0.3]))
        world.start_process(g)


async def kill(world, draw, span):
    for name in some_gateways(world, draw):
        g = world.gateways[name]
        if not g.alive() or g.stopping:
            continue
        world.kill(g)
        await asyncio.sleep(draw.choice([0, 0.5, 1]))
        world.start_process(g)


async def hold_up(world, draw, span):
    end = world.now() + span
    while world.now() < end:
        g = world.gateways[draw.choice(sorted(world.gateways))]
        g.signal(signal.SIGSTOP)
        await asyncio.sleep(draw.uniform(0.02, 0.15))
        g.signal(signal.SIGCONT)
        await asyncio.sleep(draw.uniform(0.05, 0.3))


async def reload_settings(world, draw, span):
    for _ in range(draw.randint(1, 4)):
        world.settings_round += 1
        for g in world.gateways.values():
            g.reload()
        await asyncio.sleep(draw.choice([0, 0.01, 0.2]))


async def move_discovery(world, draw, span):
    for name in some_gateways(world, draw, 6):
        g = world.gateways[name]
        if not g.alive():
            continue
        g.side = 1 - g.side
        world.moved_at[name] = world.now()
        g.reload()


async def upgrade(world, draw, span):
    for name in some_gateways(world, draw, 2):
        g = world.gateways[name]
        if not g.alive() or g.stopping:
            continue
        first = g.process
        g.start()
        await asyncio.sleep(draw.uniform(0.3, 1.2))
        stop = asyncio.ensure_future(g.stop(first))
        await asyncio.sleep(0.05)
        g.stopping = False
        await stop


# ---- discovery ----

def all_discovery(world):
    return [d for pair in world.discovery.values() for d in pair]


async def discovery_down(world, draw, span):
    for d in all_discovery(world):
        d.set_up(False)
    await asyncio.sleep(span)
    now = world.now()
    for name in world.gateways:
        world.up_since[name] = now
    for d in all_discovery(world):
        d.set_up(True)
    if world.agent:
        for name in world.gateways:
            for host in world.hosts.values():
                world.oracle.listed(name, host.name, host.state, max(now, world.moved_at[name] + 4 if now < world.moved_at[name] + 4 else now))


async def silent_watches(world, draw, span):
    """What open watches miss from now on counts as told 6 s later."""
    if world.agent:
        was = world.agent
        world.agent = False
        for d in all_discovery(world):
            d.set_silent(True)
        await asyncio.sleep(7.0)
        world.agent = was
        return
    for d in all_discovery(world):
        d.set_silent(True)


async def watches_end(world, draw, span):
    for d in all_discovery(world):
        d.end_watches()


async def whole_lists(world, draw, span):
    for d in all_discovery(world):
        d.whole_first, d.omit_leaving = True, draw.random() < 0.7
    await asyncio.sleep(span)
    for d in all_discovery(world):
        d.whole_first = d.omit_leaving = False


# ---- hosts ----

async def drain(world, draw, span):
    """Some drain, leave, and come back as new processes that are cold."""
    hosts = [h for h in some_hosts(world, draw) if h.state == "active"]
    for h in hosts:
        world.change(h, "leaving")
        await asyncio.sleep(draw.uniform(0, 0.2))
    await asyncio.sleep(span)
    for h in hosts:
        world.change(h, "left")
        h.stop()
    await asyncio.sleep(draw.uniform(0.2, 1))
    for h in hosts:
        await come_back(world, h)


async def come_back(world, host):
    await host.start()
    host.boot_ms = time.time() * 1000
    world.oracle.starts[host.name] = world.now()
    world.change(host, "active")


async def crash_hosts(world, draw, span):
    """Some die and are replaced by processes at the same address."""
    hosts = [h for h in some_hosts(world, draw) if h.state == "active"]
    for h in hosts:
        h.stop()
        h.state = "dead"
    await asyncio.sleep(draw.uniform(0.1, 1))
    for h in hosts:
        h.state = "active"
        await come_back(world, h)


async def hang(world, draw, span):
    hosts = some_hosts(world, draw)
    for h in hosts:
        h.hangs = True
    await asyncio.sleep(span)
    for h in hosts:
        h.hangs = False
        for session in list(h.sessions):
            session.transport.abort() if session.queue else None


def host_faults(**shares):
    async def play(world, draw, span):
        hosts = some_hosts(world, draw, 0.6)
        for h in hosts:
            h.faults = shares
        await asyncio.sleep(span)
        for h in hosts:
            h.faults = {}
    return play


# ---- the network ----

async def cut(world, draw, span):
    """Some hosts vanish for some gateways: nothing arrives, nobody is told."""
    names = {h.name for h in some_hosts(world, draw)}
    proxies = [p for p in world.proxies.values() if p.host.name in names]
    for p in proxies:
        p.cut = True
    await asyncio.sleep(span)
    for p in proxies:
        p.cut = False
        p.reset_all()


async def late_connections(world, draw, span):
    names = {h.name for h in some_hosts(world, draw, 0.6)}
    proxies = [p for p in world.proxies.values() if p.host.name in names]
    for p in proxies:
        p.close_late()
        p.reset_all() if draw.random() < 0.5 else None
    for _ in range(max(1, int(span / 0.9))):
        await asyncio.sleep(0.9)
        for p in proxies:
            p.open_late()
        await asyncio.sleep(0.25)
        for p in proxies:
            p.close_late()
    for p in proxies:
        p.open_late()


async def resets(world, draw, span):
    proxies = [p for p in world.proxies.values() if draw.random() < 0.5]
    for p in proxies:
        p.reset_share, p.pieces = 0.2, True
    end = world.now() + span
    while world.now() < end:
        draw.choice(sorted(world.proxies.values(), key=lambda p: (p.gateway, p.host.name))).reset_all()
        await asyncio.sleep(0.1)
    for p in proxies:
        p.reset_share, p.pieces = 0.0, False


# ---- clients ----

def client_faults(**values):
    async def play(world, draw, span):
        chosen = [world.clients[n] for n in sorted(world.clients) if draw.random() < 0.6]
        was = [{k: getattr(c, k) for k in values} for c in chosen]
        for c in chosen:
            for key, value in values.items():
                setattr(c, key, value)
        await asyncio.sleep(span)
        for c, old in zip(chosen, was):
            for key, value in old.items():
                setattr(c, key, value)
    return play


async def bad_clients(world, draw, span):
    end = world.now() + span
    while world.now() < end:
        c = world.clients[draw.choice(sorted(world.clients))]
        asyncio.ensure_future(draw.choice([c.half, c.garbage])())
        await asyncio.sleep(0.05)


async def idle_clients(world, draw, span):
    for name in some_gateways(world, draw, 4):
        asyncio.ensure_future(world.clients[name].idle(250, span))
    await asyncio.sleep(span)


async def pipelines_that_leave(world, draw, span):
    """Clients that send many commands at once and go before they are answered."""
    end = world.now() + span
    while world.now() < end:
        c = world.clients[draw.choice(sorted(world.clients))]
        c.leave_share, was = 0.9, c.leave_share
        asyncio.ensure_future(c.ask(draw.choice([20, 70, 120])))
        await asyncio.sleep(0.05)
        c.leave_share = was


# ---- the machine ----

def failing_calls(*choices):
    async def play(world, draw, span):
        chosen = [world.gateways[n] for n in some_gateways(world, draw, 5)]
        for g in chosen:
            call, errors, share = draw.choice(choices)
            g.fault(call, error=draw.choice(errors), share=share)
        await asyncio.sleep(span)
        for g in chosen:
            g.heal()
    return play


async def wall_clock_steps(world, draw, span):
    """Forward or back by seconds or an hour, and a host that starts meanwhile."""
    for name in some_gateways(world, draw, 10):
        world.gateways[name].plan.wall_step_ns = int(draw.choice([5, -5, 3600, -3600]) * 1e9)
    await crash_hosts(world, draw, span)
    await asyncio.sleep(span)


GATEWAYS = {"restart": restart, "kill": kill, "hold_up": hold_up, "reload_settings": reload_settings,
            "move_discovery": move_discovery, "upgrade": upgrade}
LISTS = {"discovery_down": discovery_down, "silent_watches": silent_watches, "watches_end": watches_end,
         "whole_lists": whole_lists}
HOSTS = {"drain": drain, "crash_hosts": crash_hosts, "hang": hang, "errors": host_faults(error=0.3, busy=0.2),
         "spoilt": host_faults(spoilt=0.2, twin=0.3, half=0.1), "silent": host_faults(silent=0.3, slow=0.3)}
NETWORK = {"cut": cut, "late_connections": late_connections, "resets": resets}
CLIENTS = {"leave": client_faults(leave_share=0.5), "pipeline": client_faults(pipeline=60),
           "short_time": client_faults(late_share=0.6), "burst": client_faults(burst=2.5), "bad_clients": bad_clients,
           "idle_clients": idle_clients, "pipelines_that_leave": pipelines_that_leave}
MACHINE = {"accept_fails": failing_calls(("accept", ACCEPT_ERRORS, 0.3)),
           "connect_fails": failing_calls(("socket", SOCKET_ERRORS, 0.3), ("connect", CONNECT_ERRORS, 0.3)),
           "interrupted": failing_calls(("epoll_wait", [errno.EINTR], 0.2), ("recv", [errno.EINTR], 0.05),
                                        ("send", [errno.EINTR], 0.05)),
           "short_calls": failing_calls(("short_recv", [0], 0.5), ("short_send", [0], 0.5)),
           "disk": failing_calls(("bind_unix", [errno.ENOSPC, errno.EIO], 1.0)),
           "wall_clock_steps": wall_clock_steps}
KINDS = [GATEWAYS, LISTS, HOSTS, NETWORK, CLIENTS, MACHINE]


async def play(world, seconds):
    """Troubles of different kinds, up to OVERLAP at a time."""
    draw = world.draw
    named = {name: t for kind in KINDS for name, t in kind.items()}
    only = world.options.faults.split(",") if world.options.faults else None
    end = world.now() + seconds
    on = {}
    while world.now() < end:
        on = {t: kind for t, kind in on.items() if not t.done()}
        if len(on) < OVERLAP:
            kinds = [k for k in range(len(KINDS)) if k not in on.values() and (k != 5 or world.options.shim)]
            kind = draw.choice(kinds)
            name = draw.choice(only) if only else draw.choice(sorted(KINDS[kind]))
            span = draw.uniform(0.8, 4)
            world.steps.append((round(world.now() - world.began, 2), name, round(span, 2)))
            world.active.append((name, world.now() + span + 4))
            on[asyncio.ensure_future(named[name](world, draw, span))] = kind if not only else len(on) + 100 * len(world.steps)
        await asyncio.sleep(draw.uniform(0.1, 0.9))
    for task in on:
        try:
            await asyncio.wait_for(task, 12)
        except asyncio.TimeoutError:
            pass
    for g in world.gateways.values():
        g.heal()
