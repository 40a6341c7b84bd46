"""Troubles of runners, and the platform's limit on memory."""
import asyncio
import signal
import time

LINK_MB_PER_S = 100  # of a runner in trouble; `LinkMbps` 1000 would allow 125


async def send_without_end(runner, writer, seconds, in_chunks=False):
    """Bytes that are no answer, until the connection is closed or the trouble is over."""
    piece = b"\xa7" * 65536
    if in_chunks:
        piece = b"%x\r\n" % len(piece) + piece + b"\r\n"
    begun, sent = time.monotonic(), 0
    try:
        while time.monotonic() - begun < seconds and not writer.transport.is_closing():
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            ahead = sent / (LINK_MB_PER_S * 1e6) - (time.monotonic() - begun)
            if ahead > 0:
                await asyncio.sleep(ahead)
    except OSError:
        pass
    runner.fleet.record.note("trouble   %s sent %.0f MB in %.1f s" % (runner.name, sent / 1e6,
                                                                      time.monotonic() - begun))


def resident_mb(process):
    try:
        with open("/proc/%d/statm" % process.pid, encoding="ascii") as file:
            return int(file.read().split()[1]) * 4096 / 1e6
    except (OSError, IndexError):
        return 0.0


async def keep_memory_limit(fleet, limit_mb, restart_after, ends):
    """The platform: "A process that goes over `MemoryMb` is killed", and is started again after a short delay."""
    highest = {}
    restarting = {}
    while True:
        for (name, role), process in list(fleet.processes.items()):
            machine = next(m for m in fleet.machines if m.name == name)
            key = (name, role)
            if key in restarting:
                if fleet.record.now() >= restarting[key]:
                    del restarting[key]
                    fleet.start(machine, role)
                continue
            used = resident_mb(process)
            if used > highest.get(key, 20.0) * 1.5:
                highest[key] = used
                fleet.record.note("memory    %s-%s uses %.0f MB" % (role, name, used))
            if process.poll() is not None:
                fleet.record.note("ended     %s-%s by itself, status %s" % (role, name, process.returncode))
            elif used > limit_mb:
                fleet.record.note("killed    %s-%s by the platform: %.0f MB are over %d" % (role, name, used, limit_mb))
                process.send_signal(signal.SIGKILL)
                process.wait()
            else:
                continue
            ends.append((fleet.record.now(), key))
            highest.pop(key, None)
            restarting[key] = fleet.record.now() + restart_after
        await asyncio.sleep(0.01)
