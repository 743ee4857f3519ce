"""A configuration drops a route and a later one has it again, unchanged. Between them a run of an accepted job ends as failed, the first of three allowed."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import TROUBLE, now, plan, route, run_case  # noqa: E402

JOB = "cc0e7a21d94b36f8"


async def scenario(cluster):
    cluster.behaviour = lambda worker, task, run: (6.0, "failed") if run == 1 else (1.0, "done")
    kept = route("kept", "/kept/")
    dropped = route("q", "/q/", maxAttempts=3)
    await cluster.begin(plan(1, [kept, dropped]))
    job = {"spec": "one task", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "estimatedDurationMs": 5000}]}
    if not await cluster.submit("/q/", JOB, job):
        raise RuntimeError("the job wasn't accepted")
    deadline = now() + 10
    while not cluster.job_runs(JOB):
        if now() > deadline:
            raise RuntimeError("the job didn't start")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    if TROUBLE and not await cluster.put_plan(plan(4, [kept])):
        raise RuntimeError("a configuration wasn't accepted")
    deadline = now() + 15
    while not cluster.job_ends(JOB, "failed"):
        if now() > deadline:
            raise RuntimeError("the run didn't end")
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)
    if TROUBLE and not await cluster.put_plan(plan(9, [kept, dropped])):
        raise RuntimeError("a configuration wasn't accepted")
    deadline = now() + 30
    state = ""
    while now() < deadline and state not in ("completed", "failed", "cancelled", "410"):
        await asyncio.sleep(1)
        state = await cluster.state("/q/", JOB)
    failed = len(cluster.job_ends(JOB, "failed"))
    if state == "failed" and failed < 3:
        return f"LOST: the job is shown as failed after {failed} run ended failed; maxAttempts is 3 in each version that has its route"
    if state != "completed":
        raise RuntimeError(f"the job is {state}")
    return None


run_case(FOLDER, scenario, workers=8)
