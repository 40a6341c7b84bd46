"""One client at each machine, on a kept connection, gets a stream on a resumable route. Each machine in turn gets SIGTERM
while such a stream is open. The disruption: the runner of that stream puts it back in the middle for want of memory, reads
it anew and goes on after 1.2 s. The other runners are full meanwhile, by requests of other callers, and say so."""
import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")  # what was sent, answered and run
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))
import deployment as d

EVENTS, GAP, PUT_BACK_AFTER, PUT_BACK = 36, 0.1, 12, 1.2
DEADLINE_MS = 8000


class Streams:
    def __init__(self, fleet, record, is_troubled):
        self.fleet, self.record, self.is_troubled = fleet, record, is_troubled
        self.put_back = set()  # the attempts that are put back when they have come so far

    async def serve(self, runner, request, reader, writer):
        attempt = request.get("Attempt-Id")
        first = int(request.get("Last-Event-Id", "0")) + 1
        self.record.line("runner %s runs %s from event %d" % (runner.name, attempt, first))
        if attempt in self.put_back:  # from here on the others are busy
            for other in self.fleet.runners:
                other.is_full = other is not runner
        writer.write(d.head_text("HTTP/1.1 200 OK", runner.head(request, [
            ("Runner-Seal", "seal"), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])))
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: event %d of %s\n\n" % (number, number, attempt.encode())
            try:
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            except ConnectionError:
                self.record.line("runner %s: %s was closed by the system after event %d" % (runner.name, attempt, number))
                raise
            pause = GAP
            if self.is_troubled and attempt in self.put_back and number == PUT_BACK_AFTER:
                self.record.line("runner %s puts %s back and reads it anew" % (runner.name, attempt))
                pause = PUT_BACK
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.line("runner %s has ended %s" % (runner.name, attempt))


class Client:
    """A connection to one machine that is kept for several requests."""

    def __init__(self, machine, address, record):
        self.machine, self.address, self.record = machine, address, record

    async def connect(self):
        ip, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    async def stream(self, attempt):
        """The ids of the events, and whether the answer was complete."""
        ids = []
        self.writer.write(d.head_text("POST /chat/new HTTP/1.1", [
            ("Host", d.HOST), ("Attempt-Id", attempt), ("Deadline-Ms", str(DEADLINE_MS)), ("Model", "m"),
            ("Token-Counts", "300,%d" % EVENTS), ("Prompt-Prefix", "%x:300" % random.getrandbits(32)),
            ("Content-Length", "5")]) + b"hello")
        text = b""

        def on_chunk(chunk):
            nonlocal text
            text += chunk
            ids[:] = [int(line[3:]) for line in text.split(b"\n") if line.startswith(b"id:")]

        is_complete, status = False, 0
        try:
            head = await asyncio.wait_for(d.read_head(self.reader), DEADLINE_MS / 1000)
            status = head.status
            if status == 200:
                await asyncio.wait_for(d.read_chunks(self.reader, on_chunk), DEADLINE_MS / 1000)
            else:
                await d.read_body(self.reader, head)
            is_complete = True
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, ValueError):
            pass
        self.record.line("client at %s, request %s: status %s, events %d to %d, %s" % (
            self.machine, attempt, status or "none", ids[0] if ids else 0, ids[-1] if ids else 0,
            "complete" if is_complete else "the connection ended without a complete answer"))
        return status, ids, is_complete


async def play(record, is_troubled):
    fleet = d.Deployment(record)
    lost = []
    try:
        streams = Streams(fleet, record, is_troubled)
        for i, zone in enumerate(d.ZONES):
            fleet.add_runner("i-%d" % i, zone, "llm", streams.serve, slots=4)
        chat = d.route("chat", "streaming", "llm", DEADLINE_MS, 800, 2, Resumable=True, Sticky=True)
        await fleet.open(d.configuration([chat], ["llm"]))
        for machine, _, _, _ in fleet.machines:
            client = Client(machine, fleet.front(machine), record)
            await client.connect()
            for _ in range(2):  # the connection is one that is kept
                status, ids, is_complete = await client.stream("%x" % random.getrandbits(64))
                if not is_complete or ids != list(range(1, EVENTS + 1)):
                    raise d.Cannot("a stream before the planned work was not complete")
            attempt = "%x" % random.getrandbits(64)
            streams.put_back.add(attempt)
            open_stream = asyncio.ensure_future(client.stream(attempt))
            await asyncio.sleep(0.6)
            begin = time.monotonic()
            fleet.signal(machine, "data", signal.SIGTERM)
            status, ids, is_complete = await open_stream
            if status == 200 and not is_complete:
                lost.append(attempt)
            while fleet.processes[(machine, "data")].poll() is None and time.monotonic() < begin + 8:
                await asyncio.sleep(0.05)
            for runner in fleet.runners:
                runner.is_full = False
            fleet.start(machine, "data")
            await asyncio.sleep(2)
    finally:
        fleet.close()
    record.line("%d of %d streams were cut around planned work" % (len(lost), len(fleet.machines)))
    return 1 if lost else 0


d.run_case(RECORD, play)
