"""Entries of another writer among those of the back ends; see claim.txt.

Exits with 1 if processes of two or more machines end by themselves three
times, 0 if not.
"""
import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness  # noqa: E402

MACHINES = 3
CALM_S = 5
PLAY_S = 30
RESTART_S = 0.5
ENTRIES = 2
# The rule: three ends in the day, on two machines at least.
MAX_ENDS = 3
MIN_MACHINES = 2


# Covers `meta` and `status`, since the limit is that of the whole object.
REST_BYTES = 512


def odd_entry():
    """An entry whose `slots` is a list; nearly as large as the store takes."""
    head = ('{"service":"s1","address":"127.0.0.1:9","zone":"za",'
            '"version":"v1","state":"ready","coldRemainingMs":0,'
            '"sequence":1,"born":1,"slots":[')
    item = "[0]"
    count = (harness.VALUE_BYTES - REST_BYTES - len(head)) // (len(item) + 1)
    return head + ",".join([item] * count) + "]}"


async def limit_memory(entry, ends, peaks_mb):
    """The platform: kills a process over `memoryMb`, and starts a process
    that ended again after a short delay."""
    while True:
        peak_mb = entry.peak_memory_mb()
        peaks_mb[entry.name] = max(peaks_mb[entry.name], peak_mb)
        is_over = peak_mb > harness.MEMORY_MB
        if is_over:
            entry.system.record.say(f"{entry.name}: {peak_mb:.0f} MB of "
                                    f"{harness.MEMORY_MB} MB, killed")
            entry.kill()
        if is_over or not entry.running:
            ends[entry.name] += 1
            entry.process.wait()
            await asyncio.sleep(RESTART_S)
            entry.start()
        await asyncio.sleep(0.02)


async def press(system, counts):
    """One request each 50 ms, to the machines in turn."""
    number = 0
    while True:
        status = await harness.request_once(
            system.record, system.entries[number % MACHINES],
            "/search/roses", deadline_ms=2000)
        number += 1
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.05)


async def case(system, trouble):
    shards = ["s1", "s2", "s3"]
    for shard in shards:
        for copy in "abc":
            await system.add_backend(f"i-{shard}{copy}", shard,
                                     zone="z" + copy)
    system.put_config(1, [harness.route(
        "search", "/search/", shardServices=shards, topK=5,
        minShardShare=0.6)], {shard: 40 for shard in shards})
    await system.start_entries()
    names = [entry.name for entry in system.entries]
    ends, peaks_mb = dict.fromkeys(names, 0), dict.fromkeys(names, 0.0)
    counts = {}
    for entry in system.entries:
        system.task(limit_memory(entry, ends, peaks_mb))
    system.task(press(system, counts))
    await asyncio.sleep(CALM_S)
    system.record.say(f"calm: answers by status {counts}")
    counts.clear()
    if trouble:
        for number in range(ENTRIES):
            name = f"i-other{number}"
            system.store.put("servers", name, odd_entry())
            revision, text = system.store.objects["servers"][name]
            size = len(system.store._object(name, revision, text))
            system.record.say(f"servers/{name}: an object of {size} bytes")
            if size > harness.VALUE_BYTES:
                raise harness.CannotRun("the object is over valueBytes")
    await asyncio.sleep(PLAY_S)
    system.record.say(f"then: answers by status {counts}; ends {ends}; peak "
                      f"MB { {n: round(mb) for n, mb in peaks_mb.items()} }")
    often = [name for name, count in ends.items() if count >= MAX_ENDS]
    return len(often) < MIN_MACHINES


harness.main(case, FOLDER, MACHINES)
