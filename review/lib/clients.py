"""Clients as PROTOCOL describes them: they look up where to go, hold the answer, and choose an address at random."""
import asyncio
import json
import random
import uuid

from fleet import ZONES, ask, read_head, request_bytes, split_address


class Directory:
    """A client's knowledge of the directory: asks at most three daemons, nearer ones first, a second for each."""

    def __init__(self, fleet, zone, hold=1.0):
        self.fleet, self.zone, self.hold = fleet, zone, hold
        self.addresses, self.until = [], 0.0

    async def current(self):
        """The addresses of the answer that is held, or of a new one once its time is over."""
        return self.addresses if self.fleet.record.now() < self.until else await self.look_up()

    async def look_up(self):
        core = sorted(self.fleet.core(), key=lambda m: (m.zone != self.zone, ZONES[m.zone] != ZONES[self.zone]))
        for machine in core[:3]:
            target = "/v1/resolve?Name=b.example&Region=%s&Zone=%s" % (ZONES[self.zone], self.zone)
            answer = await ask(self.fleet.directory(machine), "GET", target)
            if answer and answer.status == 200:
                body = json.loads(answer.body)
                ttl = min(float(body["TtlS"]), 5.0)
                self.addresses, self.until = body["Addresses"], self.fleet.record.now() + ttl * self.hold
                return self.addresses
        return self.addresses  # held for longer when no new answer can be obtained


class Outcome:
    def __init__(self, identity, front, sent_at):
        self.identity, self.front, self.sent_at = identity, front, sent_at
        self.status = None       # of the head
        self.complete = False    # the answer came whole
        self.ended_at = None
        self.timed_out = False
        self.body = b""
        self.headers = {}


async def request(fleet, front, method, target, headers=None, body=b"", deadline_ms=8000, identity=None):
    """One try on a new connection. The answer is read to its end or to the client's deadline."""
    identity = identity or uuid.uuid4().hex[:16]
    outcome = Outcome(identity, front, fleet.record.now())

    async def exchange():
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*split_address(front)), 1.0)
        try:
            fields = {"Host": "b.example", "Attempt-Id": identity, "Deadline-Ms": str(deadline_ms)}
            fields.update(headers or {})
            outcome.sent_at = fleet.record.now()
            fleet.record.note("sent      %s to %s: %s %s" % (identity, front, method, target))
            writer.write(request_bytes(method, target, "b.example", fields, body))
            await writer.drain()
            message = await read_head(reader)
            outcome.status, outcome.headers = message.status, message.headers
            if message.header("transfer-encoding").lower() == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    outcome.body += (await reader.readexactly(size + 2))[:-2]
                    if size == 0:
                        break
            elif message.header("content-length"):
                outcome.body = await reader.readexactly(int(message.header("content-length")))
            outcome.complete = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000.0)
    except asyncio.TimeoutError:
        outcome.timed_out = True
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        pass
    outcome.ended_at = fleet.record.now()
    fleet.record.note("answered  %s: status %s, %s" % (identity, outcome.status,
                                                       "whole" if outcome.complete else "not whole"))
    return outcome


def choose(addresses):
    return random.choice(addresses) if addresses else None
