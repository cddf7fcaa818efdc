"""Machines are stopped and started in turn under steady load; see claim.txt.

Exits with 1 if a request that was passed on to a back end is lost by a planned
stop as the rule LOST says, 0 if not.
"""
import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness  # noqa: E402

MACHINES = 3
BACKENDS = 8
SLOTS = 6
CLIENTS = 50
STOPS = 8
CALM_S = 5
RESTART_S = 0.4
GRACE_S = 6.0
DEADLINE_MS = 8000
# The rule excuses a back end that is at work in the last sixth of the grace
# period.
AT_WORK_S = GRACE_S * 5 / 6


class DeskBackend(harness.Backend):
    """Works for 220 ms on average, on SLOTS requests at once."""

    def __init__(self, *arguments, **keywords):
        super().__init__(*arguments, **keywords)
        self.free_slots = asyncio.Semaphore(SLOTS)
        self.ends = {}  # of runs, by id of the request

    async def run(self, request):
        async with self.free_slots:
            work_s = min(1.5, random.lognormvariate(-1.64, 0.5))
            await asyncio.sleep(work_s)
        self.ends[request.headers["x-request-id"]] = time.monotonic()
        return self.answer(request)


class Shopper:
    """A client that asks for addresses, keeps the answer and one connection a
    machine."""

    def __init__(self, system, losses, given_up):
        self.system = system
        self.losses = losses
        self.given_up = given_up
        self.addresses = []
        self.asked_at = 0.0
        # "Clients keep a response for that long, some of them three times as
        # long".
        self.keeps = random.choice([1, 1, 3])
        self.lifetime_s = 0.0
        self.connections = {}

    async def resolve(self):
        if time.monotonic() - self.asked_at < self.lifetime_s:
            return
        for entry in random.sample(self.system.entries, MACHINES):
            answer = await entry.get(
                3, "/resolve?name=shop.example&region=north&zone=za", 1.0)
            if answer is not None and answer.status == 200:
                value = json.loads(answer.body)
                self.addresses = value["addrs"]
                self.lifetime_s = value["ttl_s"] * self.keeps
                self.asked_at = time.monotonic()
                break
        for entry in list(self.connections):
            if f"{entry.ip}:{entry.front}" not in self.addresses:
                self.connections.pop(entry).close()

    async def shop(self, counts):
        while True:
            await self.resolve()
            address = random.choice(self.addresses)
            entry = next(e for e in self.system.entries
                         if f"{e.ip}:{e.front}" == address)
            client = self.connections.pop(entry, None)
            client = client or harness.Client(self.system.record, entry)
            request_id = f"{random.getrandbits(64):016x}"
            kind = random.choice(["order", "lookup"])
            sent_at = time.monotonic()
            answer = await client.request(
                f"/{kind}/{request_id[:6]}",
                method="POST" if kind == "order" else "GET",
                body=b"x" * 100 if kind == "order" else b"",
                deadline_ms=DEADLINE_MS, request_id=request_id)
            status = answer.status if answer else None
            counts[status] = counts.get(status, 0) + 1
            if status == 504:
                self.given_up.append((request_id, time.monotonic()))
            if answer is None:
                self.losses.append((entry, kind, request_id, sent_at,
                                    time.monotonic()))
                client.close()
            elif client.writer is not None:
                self.connections[entry] = client
            await asyncio.sleep(random.uniform(0, 0.2))


def is_lost(system, stops, loss):
    """Returns whether the rule counts a request without an answer."""
    entry, _, request_id, sent_at, ended_at = loss
    ends = [backend.ends[request_id] for backend in system.backends
            if request_id in backend.ends]
    was_passed_on = any(request_id == run[1] for backend in system.backends
                        for run in backend.runs)
    in_time = ended_at - sent_at < DEADLINE_MS / 1000 - 0.1
    for stopped, stopped_at in stops:
        if (stopped is entry and was_passed_on and in_time and ends and
                stopped_at <= ended_at <= stopped_at + GRACE_S + 1 and
                max(ends) < stopped_at + AT_WORK_S):
            return True
    return False


async def case(system, trouble):
    for number in range(BACKENDS):
        await system.add_backend(f"i-desk-{number}", "desk", kind=DeskBackend,
                                 zone="z" + "abc"[number % 3], slots=SLOTS)
    system.put_config(1, [
        harness.route("order", "/order/", service="desk",
                      type="non_idempotent", timeoutMs=8000,
                      targetLatencyMs=800),
        harness.route("lookup", "/lookup/", service="desk", timeoutMs=8000,
                      targetLatencyMs=800)], {"desk": 96})
    await system.start_entries()
    losses, given_up, counts, stops = [], [], {}, []
    for _ in range(CLIENTS):
        system.task(Shopper(system, losses, given_up).shop(counts))
    await asyncio.sleep(CALM_S)
    for number in range(STOPS):
        entry = system.entries[number % MACHINES]
        stopped_at = time.monotonic()
        if trouble:
            stops.append((entry, stopped_at))
            entry.kill(signal.SIGTERM)
            while entry.running and time.monotonic() < stopped_at + GRACE_S:
                await asyncio.sleep(0.02)
            system.record.say(
                f"{entry.name}: SIGTERM, "
                f"{'killed' if entry.running else 'ended'} after "
                f"{time.monotonic() - stopped_at:.2f} s")
            entry.kill()
            entry.process.wait()
            await asyncio.sleep(RESTART_S)
            entry.start()
            await asyncio.sleep(CALM_S)
        else:
            await asyncio.sleep(GRACE_S + CALM_S)
    ends = {}
    for backend in system.backends:
        ends.update(backend.ends)
    late = [at for request_id, at in given_up if request_id in ends and
            ends[request_id] < at - 1]
    system.record.say(f"answered 504 though a back end had run them to the "
                      f"end more than a second before: {len(late)}")
    lost = [loss for loss in losses if is_lost(system, stops, loss)]
    system.record.say(f"answers by status {counts}; without an answer "
                      f"{len(losses)}, of these lost {len(lost)}")
    for entry, kind, request_id, sent_at, ended_at in lost:
        stopped_at = max(at for stopped, at in stops
                         if stopped is entry and at <= ended_at)
        system.record.say(
            f"lost: {kind} {request_id} at {entry.name}, sent "
            f"{sent_at - stopped_at:+.2f} s after its SIGTERM, connection "
            f"ended {ended_at - stopped_at:.2f} s after it")
    return not lost


harness.main(case, FOLDER, MACHINES)
