"""Stand-ins for what the real programs meet in a soak: upstream workers with their proxies, and the ledger that checks the promises."""

import asyncio
import json
import random
import socket
import struct
import time

CAPACITY_MILLIS = 4000  # Processor thousandths of each worker: room for a few tasks, so that placement is contested.
LONGEST_LEASE_MS = 10000  # As the hosts are told in their settings.
STOP_MS = 100  # A stop takes this long here.
CANCEL_GRACE_S = 15  # Orders may be held up by a proxy and the longest lease; a start later than this after a cancel is never right.


def now():
    return time.monotonic()


class Ledger:
    """What callers and workers saw, and the promises that were broken by it."""

    def __init__(self):
        self.jobs = {}  # By id: spec, steps, accepted, cancelled_at, refused.
        self.active = {}  # By task: the worker lives that run it.
        self.noted = set()  # Tasks whose done end a host acknowledged.
        self.done = set()
        self.broken = []
        self.starts = 0

    def breach(self, rule, text):
        self.broken.append(f"{rule} {text}")

    def check_start(self, life, task, spec):
        self.starts += 1
        job_id, _, step, _ = task.rsplit(".", 3)
        job = self.jobs.get(job_id)
        if job is None or job["spec"] != spec:
            self.breach("UNASKED", f"{task} on {life.name}")
            return 0
        if self.active.get(task):
            self.breach("TWICE", f"{task} on {life.name} runs on {[other.name for other in self.active[task]]}")
        if task in self.noted:
            self.breach("TWICE", f"{task} on {life.name} after it was done")
        if job["cancelled_at"] and now() > job["cancelled_at"] + CANCEL_GRACE_S:
            self.breach("UNASKED", f"{task} on {life.name} long after its cancel")
        for earlier in job["steps"][int(step)].get("after", []):
            count = job["steps"][earlier]["count"]
            if any(f"{job_id}.0.{earlier}.{index}" not in self.done for index in range(count)):
                self.breach("ORDER", f"{task} before step {earlier}")
        return job["steps"][int(step)]["cpu"]

    def all_done(self, job_id):
        steps = self.jobs[job_id]["steps"]
        return all(f"{job_id}.0.{number}.{index}" in self.done for number, step in enumerate(steps) for index in range(step["count"]))


class Life:
    """One process of a worker: what it runs, its lease, its ends."""

    def __init__(self, name, ledger, rng):
        self.name = name
        self.ledger = ledger
        self.rng = rng
        self.born = int(time.time() * 1000)
        self.began = now()
        self.slow = rng.choice([1.0, 0.985])  # Its clock may run slow.
        self.fence = 0
        self.lease = 0
        self.runs = {}  # By task: (run, processor thousandths).
        self.closed = {}
        self.ends = []
        self.next_end = 1
        self.lapsed = 0
        self.alive = True
        self.changed = asyncio.Event()

    def clock(self):
        return 1000 + int((now() - self.began) * 1000 * self.slow)

    def end(self, task, how):
        run, _ = self.runs.pop(task)
        self.ledger.active[task].discard(self)
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.ends.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        if how == "done":
            self.ledger.done.add(task)
        self.changed.set()
        self.changed = asyncio.Event()

    def check_lease(self):
        if self.runs and self.clock() > self.lease:
            self.lapsed = self.next_end - 1
            for task in list(self.runs):
                self.end(task, "lapsed")

    def renew(self, body):
        until = body.get("deadlineMs", 0)
        self.lease = max(self.lease, min(until, self.clock() + LONGEST_LEASE_MS))

    def crash(self):
        self.alive = False
        for task in self.runs:
            self.ledger.active[task].discard(self)
        self.runs = {}

    async def work(self, task, run, seconds, fails):
        await asyncio.sleep(seconds)
        if self.alive and self.runs.get(task, (0, 0))[0] == run:
            self.check_lease()
            if task in self.runs:
                self.end(task, "failed" if fails else "done")

    async def stop_later(self, task, run):
        await asyncio.sleep(STOP_MS / 1000)
        if self.alive and self.runs.get(task, (0, 0))[0] == run:
            self.end(task, "stopped")

    def start(self, body):
        self.check_lease()
        if body["fencingToken"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencingToken"]
        self.renew(body)
        task, run = body["task"], body["run"]
        if 0 < body.get("deadlineMs", 0) < self.clock():
            return 409, {"reason": "late"}
        if self.runs.get(task, (0, 0))[0] == run:
            return 200, {}
        if task in self.runs or run <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        cpu = self.ledger.check_start(self, task, body["spec"])
        if sum(used for _, used in self.runs.values()) + cpu > CAPACITY_MILLIS:
            self.ledger.breach("LIMIT", f"{task} on {self.name}")
        self.runs[task] = (run, cpu)
        self.ledger.active.setdefault(task, set()).add(self)
        asyncio.ensure_future(self.work(task, run, self.rng.uniform(0.1, 1.5), self.rng.random() < 0.03))
        return 200, {}

    def stop(self, body):
        if body["fencingToken"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencingToken"]
        task, run = body["task"], body["run"]
        if self.runs.get(task, (0, 0))[0] == run:
            asyncio.ensure_future(self.stop_later(task, run))
        else:
            self.closed[task] = max(run, self.closed.get(task, 0))
        return 200, {}

    def acknowledge(self, cursor):
        for number, task, _, how, _ in self.ends:
            if number <= cursor and how == "done" and number > self.lapsed:
                self.ledger.noted.add(task)
        self.ends = [end for end in self.ends if end[0] > cursor]

    async def hold(self, body):
        if body["fencingToken"] < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body["fencingToken"]
        self.check_lease()
        self.renew(body)
        self.acknowledge(body.get("ackCursor", 0))
        if not self.ends and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        self.check_lease()
        running = [[task, run, "", 50] for task, (run, _) in self.runs.items()]
        return 200, {"running": running, "finished": self.ends[:500], "born": self.born}


class Worker:
    """A worker: its server, the proxy in front of it, and its heartbeats."""

    def __init__(self, name, ip, zone, controls, ledger, rng):
        self.name, self.ip, self.zone, self.controls, self.ledger, self.rng = name, ip, zone, controls, ledger, rng
        self.life = None
        self.sequence = 0
        self.mode = "ok"
        self.pipes = set()

    async def run(self):
        self.life = Life(self.name, self.ledger, self.rng)
        server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]
        proxy = await asyncio.start_server(self.forward, self.ip, 0)
        self.proxy_port = proxy.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.beat())

    async def reboot(self, seconds):
        """Ends the process and starts another under the same id."""
        self.life.crash()
        self.reset()
        await asyncio.sleep(seconds)
        self.life = Life(self.name, self.ledger, self.rng)
        self.sequence = 0

    def reset(self):
        for writer in list(self.pipes):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            if not self.life.alive:
                continue
            self.sequence += 1
            body = {"service": "s", "address": f"{self.ip}:{self.proxy_port}", "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                    "coldRemainingMs": 0, "capacity": {"cpu": CAPACITY_MILLIS, "memMb": 64000, "gpu": 0}, "labels": ["a", "r1"],
                    "clockMs": self.life.clock(), "sequence": self.sequence, "born": self.life.born}
            for control in self.rng.sample(self.controls, len(self.controls)):
                status, _ = await request(control, 8166, "PUT", f"/api/instances/{self.name}", body, 1.0)
                if status == 200:
                    break

    async def serve(self, reader, writer):
        life = self.life
        self.pipes.add(writer)
        try:
            while life.alive:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")), 0)
                body = json.loads(await reader.readexactly(length))
                if not life.alive:
                    break
                if path == "/api/hold":
                    status, answer = await life.hold(body)
                else:
                    status, answer = life.start(body) if path == "/api/run-start" else life.stop(body)
                if not life.alive:
                    break
                text = json.dumps({"clockMs": life.clock(), **answer}).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.pipes.discard(writer)
            writer.close()

    async def forward(self, reader, writer):
        self.pipes.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(self.ip, self.port)
        except OSError:
            writer.close()
            return
        self.pipes.add(up_writer)
        try:
            await asyncio.gather(self.pump(reader, up_writer, True), self.pump(up_reader, writer, False), return_exceptions=True)
        except asyncio.CancelledError:
            pass  # The run is over.
        for end in (writer, up_writer):
            self.pipes.discard(end)
            end.close()

    async def pump(self, reader, writer, towards):
        """Carries bytes one way, as the mode of the proxy has it at the time."""
        while data := await reader.read(65536):
            mode = self.mode
            if mode == "delay":
                await asyncio.sleep(self.rng.uniform(0.05, 0.6))
            elif mode == "late" and towards:
                await asyncio.sleep(self.rng.uniform(2, 6))  # Carried out after newer calls on other connections.
            elif mode == "silent" or (mode == "one-way" and not towards):
                continue  # Swallowed; the connection stays open.
            if writer.is_closing():
                return
            writer.write(data)
            await writer.drain()


async def request(ip, port, method, path, body=None, timeout=3.0, host=None):
    """One call on a connection of its own. Returns the status, 0 without an answer, and the body."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            return await exchange(reader, writer, method, path, body, host or ip, timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def exchange(reader, writer, method, path, body, host, timeout):
    text = b"" if body is None else json.dumps(body).encode()
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                 f"Rosemaryturn-Deadline-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
    await writer.drain()
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")), 0)
    return status, await reader.readexactly(length)
