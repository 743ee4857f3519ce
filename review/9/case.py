"""After a restart the leader takes the advice for an earlier process's request as that for one of its own: accepted jobs are never started."""

import asyncio
import json
import os
import sys
import time
import zlib

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from rt import BROKEN, HELD, TROUBLE, CannotRun, Worker, config, prepare, run_case  # noqa: E402

DECISION_MS = 300.0
PER_WORKER_MS = 4.4
VALIDITY_MS = 1500
MOST_WAITING = 32
WORKERS = 6
ALLOWED = 2  # Workers that the policy allows for a step.
CYCLES = 9  # At most: they end once a leader has used advice that was given to an earlier process.
JOBS_A_CYCLE = 60  # In one second: below the burst of the site, 2.2 times 38.5 hall-checks a second.
TASK_S = 1.0
FINISH_S = 14
IDLE_S = 8.0  # The rule asks for 3 s.


class Advice:
    """The advice service: one call at a time for each calling machine, in turn."""

    def __init__(self, system, workers):
        self.system, self.workers = system, workers
        self.locks = {}
        self.waiting = {}

    def allows(self, step):
        names = sorted((worker.name for worker in self.workers), key=lambda name: zlib.crc32(f"{step}/{name}".encode()))
        return names[:ALLOWED]

    def machine_of(self, port, own_port):
        """Returns the address of the calling process: on loopback addresses the connection doesn't tell it."""
        inode = None
        with open("/proc/net/tcp", encoding="utf-8") as table:
            for line in list(table)[1:]:
                fields = line.split()
                if int(fields[1].split(":")[1], 16) == port and int(fields[2].split(":")[1], 16) == own_port:
                    inode = fields[9]
        for node in self.system.nodes:
            try:
                folder = f"/proc/{node.process.pid}/fd"
                for name in os.listdir(folder):
                    if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                        return node.ip
            except OSError:
                continue
        return "unknown"

    async def answer(self, machine, body):
        if self.waiting.get(machine, 0) >= MOST_WAITING:
            return 429, {}
        self.waiting[machine] = self.waiting.get(machine, 0) + 1
        try:
            async with self.locks.setdefault(machine, asyncio.Lock()):
                await asyncio.sleep((DECISION_MS + PER_WORKER_MS * len(body["workers"])) / 1000)
        finally:
            self.waiting[machine] -= 1
        allowed = [name for name in self.allows(body["step"]) if name in body["workers"]]
        return 200, {"allowed": [[name, f"{body['step']}@{name}@{time.monotonic():.3f}"] for name in allowed]}

    async def serve(self, reader, writer):
        machine = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")), 0)
                body = json.loads(await reader.readexactly(length))
                if machine is None:
                    machine = self.machine_of(writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1])
                status, answer = await self.answer(machine, body)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class TicketWorker(Worker):
    """A worker that starts a task only with a valid ticket for its step."""

    foreign = []

    def start(self, body):
        parts = body.get("ticket", "").split("@")
        step = body["task"].rsplit(".", 1)[0]
        if len(parts) == 3 and parts[0] != step:
            self.foreign.append((body["task"], body["ticket"]))
            self.record.note(f"worker {self.name} refuses {body['task']} run={body['run']}: the ticket is for {parts[0]}")
        if len(parts) != 3 or parts[0] != step or parts[1] != self.name or time.monotonic() > float(parts[2]) + VALIDITY_MS / 1000:
            return 409, {"reason": "ticket"}
        return super().start(body)


async def case(system):
    workers = [TicketWorker(system, f"i-{number:08x}", number) for number in range(WORKERS)]
    for worker in workers:
        worker.duration = lambda task, spec: TASK_S
    advice = Advice(system, workers)
    ip, port = system.advice.split(":")
    await asyncio.start_server(advice.serve, ip, int(port))
    plan = config(recommendation={"decisionMs": DECISION_MS, "perWorkerMs": PER_WORKER_MS, "validityMs": VALIDITY_MS})
    client = await prepare(system, workers, plan)
    accepted = []

    async def submit(number, delay):
        await asyncio.sleep(delay)
        job = f"{number:016x}"
        step = {"count": 1, "cpu": 1000, "memMb": 256, "estimatedDurationMs": 1000}
        if await client.submit(job, {"spec": "sound", "steps": [step]}, quiet=True):
            accepted.append(job)

    for cycle in range(CYCLES):
        numbers = range(0x1000 * (cycle + 1), 0x1000 * (cycle + 1) + JOBS_A_CYCLE)
        burst = asyncio.gather(*[submit(number, position / JOBS_A_CYCLE) for position, number in enumerate(numbers)])
        await asyncio.sleep(1.0)
        if TROUBLE:
            for node in system.controls:
                node.kill()
            await asyncio.sleep(0.5)
            for node in system.controls:
                node.start(False)
        await burst
        await asyncio.sleep(3.0)
        if TicketWorker.foreign:
            break
    system.record.note(f"the control processes were killed {cycle + 1 if TROUBLE else 0} times")
    await asyncio.sleep(FINISH_S)
    began = time.monotonic()
    await asyncio.sleep(IDLE_S)
    started = {start[1].split(".")[0] for worker in workers for start in worker.starts if start[0] > began}
    running = {task.split(".")[0] for worker in workers for task in worker.running}
    lost = []
    for job in accepted:
        if any(end[1].startswith(job) and end[3] == "done" for worker in workers for end in worker.ended):
            continue
        if job not in started and job not in running:
            lost.append(job)
    for job in lost:
        system.record.note(f"job {job} was accepted, isn't done and has had nothing running for {IDLE_S:g} s; allowed on {advice.allows(job + '.0.0')}; "
                           f"state {await client.state(job, quiet=True)}")
    system.record.note(f"accepted={len(accepted)} not done={len(lost)} starts with a ticket for another step={len(TicketWorker.foreign)}")
    if not accepted:
        raise CannotRun("no job was accepted")
    return BROKEN if lost else HELD


run_case(FOLDER, case, advice=True)
