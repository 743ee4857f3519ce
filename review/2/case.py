"""A client hands in a chain of steps in which each step lists all earlier ones. The leaders hang one after the other, and nothing is answered any more."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import BOUNDS, CONTROL, TROUBLE, now, plan, request, route, run_case  # noqa: E402

BEFORE, CHAIN = "ee0e7a21d94b36f8", "ff0e7a21d94b36f8"
STEPS = 36
WATCH_S = 45.0


async def scenario(cluster):
    cluster.behaviour = lambda worker, task, run: (0.3, "done")
    await cluster.begin(plan(1, [route()]))
    job = {"spec": "one task", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "estimatedDurationMs": 300}]}
    if not await cluster.submit("/q/", BEFORE, job):
        raise RuntimeError("the first job wasn't accepted")
    await asyncio.sleep(3)
    steps = []
    for number in range(STEPS):
        step = {"count": 1, "cpu": 1000, "memMb": 1000, "estimatedDurationMs": 300}
        if number > 0:
            step["after"] = list(range(number)) if TROUBLE else [number - 1]  # The same order either way.
        steps.append(step)
    accepted = await cluster.submit("/q/", CHAIN, {"spec": "a chain", "steps": steps}, 3)
    cluster.record.note(f"the chain of {STEPS} steps is accepted: {accepted}")
    await asyncio.sleep(BOUNDS["finish_s"])  # After the end of the traffic.
    deadline = now() + WATCH_S
    states, reads, asked = {BEFORE: [], CHAIN: []}, [], 0
    while now() < deadline and (not states[CHAIN] or states[CHAIN][-1] != "completed"):
        asked += 1
        for job_id, seen in states.items():
            status, text = await cluster.client("GET", "/q/" + job_id)
            seen += [json.loads(text)["state"]] if status == 200 else []
        for host in cluster.cores:
            status, text = await request(host.ip, CONTROL, "GET", "/api/config", None, 1)
            cluster.record.note(f"operator GET config at {host.name} -> {status}")
            reads += [json.loads(text)["version"]] if status == 200 else []
        await asyncio.sleep(0.5)
    runs = len(cluster.job_runs(CHAIN))
    answers = len(states[BEFORE]) + len(states[CHAIN])
    if not answers and not reads:
        return (f"LOST, CONFIG: for {WATCH_S:.0f} s no machine told of an accepted job or of the configuration; each was asked {asked} times; "
                f"{runs} of {STEPS} tasks of the chain were started")
    if "completed" not in states[CHAIN]:
        raise RuntimeError(f"the chain is {states[CHAIN][-1:]} with {runs} runs; {answers} answers, {len(reads)} reads")
    return None


run_case(FOLDER, scenario, workers=4)
