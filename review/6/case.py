"""After a restart of all control processes the configuration and every accepted job are gone, once the snapshots hold many tasks."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from rt import BROKEN, HELD, TROUBLE, CannotRun, Worker, config, prepare, run_case  # noqa: E402

LARGE_JOBS = 55
TASKS = 20000
SMALL_JOBS = 1700  # About three records each; a snapshot is made every 4000 records.
LARGE_A_SECOND = 1.84  # The rates of the site: stand-render, and less than cut-list and hall-check together (42.8).
SMALL_A_SECOND = 40.0
SMALL_AFTER_S = 15.0
READ_S = 10


async def case(system):
    workers = [Worker(system, f"i-{number:08x}", number) for number in range(6)]
    for worker in workers:
        worker.duration = lambda task, spec: 100.0 if spec == "large" else 0.05
    client = await prepare(system, workers, config(version=7))
    large = [f"{0xa000 + number:016x}" for number in range(LARGE_JOBS)]
    small = [f"{0xb000 + number:016x}" for number in range(SMALL_JOBS)]
    step = {"count": TASKS, "cpu": 10, "memMb": 16, "estimatedDurationMs": 100000, "antiAffinity": 1}
    accepted = []

    async def send(job, spec, job_step, delay):
        await asyncio.sleep(delay)
        if await client.submit(job, {"spec": spec, "steps": [job_step]}, quiet=True):
            accepted.append(job)

    short = {"count": 1, "cpu": 100, "memMb": 16, "estimatedDurationMs": 50}
    await asyncio.gather(*[send(job, "large", step, number / LARGE_A_SECOND) for number, job in enumerate(large)],
                         *[send(job, "small", short, SMALL_AFTER_S + number / SMALL_A_SECOND) for number, job in enumerate(small)])
    begun = {start[1].split(".")[0] for worker in workers for start in worker.starts} & set(large)
    system.record.note(f"accepted jobs={len(accepted)}; large jobs that have begun={len(begun)}")
    if len(accepted) < LARGE_JOBS + SMALL_JOBS or len(begun) < LARGE_JOBS:
        raise CannotRun("the jobs weren't all accepted or begun")
    await asyncio.sleep(5)
    for node in system.controls:
        with open(f"/proc/{node.process.pid}/status", encoding="utf-8") as file:
            peak = next(line.split()[1] for line in file if line.startswith("VmHWM"))
        system.record.note(f"control process {node.ip}: peak memory {int(peak) // 1024} MB")
    if TROUBLE:
        for node in system.controls:
            node.kill()
        await asyncio.sleep(0.7)
        for node in system.controls:
            node.start(False)
    await asyncio.sleep(12)  # recoverS.
    read = await client.get_config(READ_S)
    system.record.note(f"configuration read back: {'none' if read is None else 'version ' + str(read['version'])}; version 7 was acknowledged")
    states = {job: await client.state(job, seconds=2) for job in (large[0], large[-1], accepted[-1])}
    system.record.note(f"states after the restart: {states}")
    lost_config = read is None or read["version"] < 7
    lost_jobs = all(state in (None, 410) for state in states.values())
    return BROKEN if lost_config or lost_jobs else HELD


run_case(FOLDER, case)
