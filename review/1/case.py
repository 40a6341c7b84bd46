"""Runners whose health answers have no length and no end: the control processes that probe them run out of memory."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")  # what was sent, answered and run
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from clients import request  # noqa: E402
from fleet import TROUBLE, Runner, main, plain, route, service  # noqa: E402
from trouble import keep_memory_limit, send_without_end  # noqa: E402

MEMORY_MB = 260
ROUNDS, EVERY, LASTS = 3, 14.0, 5.0  # troubles of 5 s, as long as the site's `garble`


class SpoilingRunner(Runner):
    """Sound, but for one health answer in each trouble: its head gives no length, and its body does not end."""
    spoils = False
    answers = 0
    spoiled = 0

    async def answer(self, request, reader, writer):
        self.answers += 1
        if not (self.spoils and request.first_line.startswith("GET /health ")):
            return await super().answer(request, reader, writer)
        self.spoils = False
        self.spoiled += 1
        self.fleet.record.note("trouble   %s spoils a health answer" % self.name)
        writer.write(("HTTP/1.1 200 OK\r\nRunner-Id: %s\r\n\r\n" % self.name).encode())
        await send_without_end(self, writer, LASTS)
        return False


async def traffic(fleet, end):
    """90 requests a second over all data daemons, so that one answer is under 3 in 100 of a runner's in 5 s."""
    tasks, turn = set(), 0
    while fleet.record.now() < end:
        turn += 1
        front = fleet.front(fleet.machines[turn % len(fleet.machines)])
        task = asyncio.create_task(request(fleet, front, "POST", "/pay/2f", {}, b"bill", 2500))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / 90)
    await asyncio.gather(*tasks)


async def case(fleet):
    for number, zone in enumerate(("bag-teku", "bag-lalitpur", "gan-pokhara")):
        for _ in range(3):
            fleet.add_runner("llm", zone, plain(0.06))
        if number < 2:
            last = fleet.runners[-1]
            fleet.runners[-1] = SpoilingRunner(fleet, last.name, last.service, zone, last.address, last.serve)
    await fleet.bring_up([route("pay", "retry_safe", "llm", 2500, 400)], [service("llm")])
    ends = []
    platform = asyncio.create_task(keep_memory_limit(fleet, MEMORY_MB, 0.5, ends))
    await asyncio.sleep(2)
    paying = asyncio.create_task(traffic(fleet, fleet.record.now() + 3 + ROUNDS * EVERY))
    await asyncio.sleep(3)
    for _ in range(ROUNDS):
        if TROUBLE:
            for runner in fleet.runners:
                if isinstance(runner, SpoilingRunner):
                    runner.spoils = True
        await asyncio.sleep(EVERY)
    await paying
    platform.cancel()
    for runner in fleet.runners:
        if isinstance(runner, SpoilingRunner):
            fleet.record.note("judged    %s spoiled %d of %d answers, in 3 troubles of 5 s in %.0f s" % (
                runner.name, runner.spoiled, runner.answers, 3 + ROUNDS * EVERY))
    counts = {}
    for _, (name, role) in ends:
        counts["%s-%s" % (role, name)] = counts.get("%s-%s" % (role, name), 0) + 1
    core = [machine for machine in fleet.core() if counts.get("control-" + machine.name, 0) >= 3]
    text = "ends by themselves: %s; three or more on %d of %d core machines" % (counts or "none", len(core),
                                                                             len(fleet.core()))
    fleet.record.note("judged    " + text)
    print(text)
    return len(core) * 2 < len(fleet.core())


main(RECORD, case)
