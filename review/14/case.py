"""A frontend freezes with a client's job on its connection. The client gives up and cancels through another frontend; the job must not run then."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
from deployment import FRONT, exchange, job_id, now, play, route  # noqa: E402

FREEZE_S = 5.0  # What `fleetbench kinds` gives; 4 to 7.7 s in the site file.
GIVE_UP_S = 0.6  # Half the objective.
CANCEL_S = 3.0  # cancel_ms.
ROUNDS = 3
FRONTS = 6  # As on the site: with the three core machines, one of nine stands still at a time.


async def play_round(deployment, trouble):
    frozen, other = deployment.fronts[:2]
    job = job_id()
    path = f"/q/{job}"
    deployment.outcomes[job] = lambda *_: (2.0, "done")
    reader, writer = await asyncio.open_connection(frozen.ip, FRONT)
    await exchange(reader, writer, "GET", "/q/", None, "q.example", 3.0)  # An open connection stays with its node.
    if trouble:
        frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
    frozen_at = now()
    body = {"spec": "job of a client that gives up", "steps": [{"count": 1, "cpu": 1000, "memMb": 64, "estimatedDurationMs": 2000}]}
    try:
        status, _ = await asyncio.wait_for(exchange(reader, writer, "POST", path, body, "q.example", 3.0), GIVE_UP_S)
    except asyncio.TimeoutError:
        status = 0
    deployment.record.note("call", method="POST", path=path, node=frozen.name, status=status)
    writer.close()
    status = 0
    while status not in (200, 410):
        status, _ = await deployment.call("DELETE", path, "q.example", front=other)
        await asyncio.sleep(0.1)
    cancelled_at = now()
    await asyncio.sleep(max(0, frozen_at + FREEZE_S - now()))
    if trouble:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(5.0)
    late = [entry for entry in deployment.runs if entry["task"].startswith(job) and entry["begun"] > cancelled_at + CANCEL_S]
    state = await deployment.state_of(path, "q.example")
    seconds = [round(entry["begun"] - cancelled_at, 1) for entry in late]
    print(f"cancel answered {status}, starts later than {CANCEL_S} s after it: {seconds}, state {state}")
    return [f"UNASKED: the job {job} was started {seconds[0]} s after its cancelling was answered with {status}; it is shown as {state}"] if late else []


async def case(deployment, trouble):
    await deployment.begin(4, {"cpu": 16000, "memMb": 65536, "gpu": 0}, [route()])
    breaches = []
    for _ in range(ROUNDS):
        breaches += await play_round(deployment, trouble)
        await asyncio.sleep(3.0)
    return breaches


play(case, HERE, FRONTS)
