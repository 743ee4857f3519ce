"""One control machine is replaced, and once its successor has had its time, another one. No leader is found any more, so that nothing is answered."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import BOUNDS, CONTROL, TROUBLE, now, plan, request, route, run_case  # noqa: E402

JOB = "dd0e7a21d94b36f8"
COMES_AFTER_S = 1.0  # As `replace_core` in the list of the bench.
SPARE_S = 2.0  # Beyond the time that a successor is given.
WATCH_S = 45.0  # Several times recoveryS.


async def scenario(cluster):
    cluster.behaviour = lambda worker, task, run: (1.0, "done")
    await cluster.begin(plan(2, [route()]))
    job = {"spec": "one task", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "estimatedDurationMs": 1000}]}
    if not await cluster.submit("/q/", JOB, job):
        raise RuntimeError("the job wasn't accepted")
    await asyncio.sleep(3)
    if TROUBLE:
        first, second = cluster.cores[0], cluster.cores[1]
        await cluster.replace_core(first, COMES_AFTER_S)
        await asyncio.sleep(BOUNDS["catchUpS"] + SPARE_S)
        for host in cluster.cores:
            status, _ = await request(host.ip, CONTROL, "GET", "/api/config", None, 1)
            cluster.record.note(f"operator GET config at {host.name} -> {status}")
        await cluster.replace_core(second, COMES_AFTER_S)
    await asyncio.sleep(BOUNDS["catchUpS"])
    deadline = now() + WATCH_S
    answers, reads, asked = [], [], 0
    while now() < deadline and not (answers and reads):
        asked += 1
        for front in cluster.fronts:
            status, text = await cluster.client("GET", "/q/" + JOB, front=front)
            answers += [json.loads(text)["state"]] if status == 200 else []
        for host in cluster.cores:
            status, text = await request(host.ip, CONTROL, "GET", "/api/config", None, 1)
            cluster.record.note(f"operator GET config at {host.name} -> {status}")
            reads += [json.loads(text)["version"]] if status == 200 else []
    ended = cluster.crashed_hosts()
    if ended:
        raise RuntimeError(f"{ended} ended")
    if not answers and not reads:
        return f"LOST, CONFIG: for {WATCH_S:.0f} s no machine told of the accepted job or of the acknowledged configuration; each was asked {asked} times"
    if answers[-1] != "completed" or reads[-1] != 2:
        return f"LOST, CONFIG: the job is {answers[-1]}, the configuration is {reads[-1]}"
    return None


run_case(FOLDER, scenario, workers=4)
