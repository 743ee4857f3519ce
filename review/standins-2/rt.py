"""Starts the project's program as a small deployment on loopback addresses, with stand-ins for workers, clients, the operator and the advice service."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "platform", "rosemaryturn-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ["zone-1", "zone-2", "zone-3"]
HOST = "queue.example"
PREFIX = "/queue/"
SERVICE = "service-1"
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 10000
STOP_MS = 200
GRACE_S = 6


class CannotRun(Exception):
    """The case can't run here."""


def free_port(addresses, taken):
    """Returns a port that is free on all of the addresses."""
    for _ in range(200):
        port = random.randint(12000, 28000)
        if port in taken:
            continue
        sockets = []
        try:
            for address in addresses:
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((address, port))
            taken.add(port)
            return port
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free port")


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Node:
    """A process of the system."""

    def __init__(self, system, ip, zone, control):
        self.system, self.ip, self.zone, self.control = system, ip, zone, control
        self.folder = os.path.join(system.folder, ip)
        os.makedirs(self.folder)
        self.settings = os.path.join(self.folder, "node.json")
        self.process = None

    def start(self, founding):
        system = self.system
        settings = {
            "cluster": "deployment", "host": self.ip, "dataCentre": self.zone,
            "dataFolder": os.path.join(self.folder, "data") if self.control else "",
            "peerPort": system.peer_port, "metricsPort": system.metrics_port,
            "callers": "" if self.control else f"{self.ip}:{system.front_port}",
            "readiness": "" if self.control else f"{self.ip}:{system.ready_port}",
            "control": f"{self.ip}:{system.control_port}" if self.control else "",
            "advice": system.advice or "", "machines": "",
            "seeds": [f"{ip}:{system.control_port}" for ip in system.control_ips], "founding": founding,
            "longestLeaseMs": MAX_HOLD_MS, "stopMs": STOP_MS, "gangWaitMs": 3000, "drainMs": 3000, "graceMs": GRACE_S * 1000,
            "heartbeatMs": HEARTBEAT_MS,
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["ROSEMARYTURN_BOOT"] = self.settings
        with open(os.path.join(self.folder, "log"), "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([PROGRAM], env=environment, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.system.record.note(f"process start {self.ip} {'control' if self.control else 'entry'} pid={self.process.pid}")

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.system.record.note(f"process signal {self.ip} {signal.Signals(number).name}")
            self.process.send_signal(number)

    def kill(self):
        if self.alive():
            self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class System:
    """Three control and three entry processes, with settings like those of a small deployment."""

    def __init__(self, record, advice=False):
        self.record = record
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program of the deploy file isn't built")
        self.folder = tempfile.mkdtemp(prefix="rt-case-")
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.control_ips = [f"{self.net}.{number}" for number in (1, 2, 3)]
        entry_ips = [f"{self.net}.{number}" for number in (11, 12, 13)]
        addresses = self.control_ips + entry_ips + [f"{self.net}.250"]
        taken = set()
        self.peer_port, self.control_port, self.front_port, self.ready_port, self.metrics_port, advice_port = (free_port(addresses, taken) for _ in range(6))
        self.advice = f"{self.net}.250:{advice_port}" if advice else None
        self.controls = [Node(self, ip, zone, True) for ip, zone in zip(self.control_ips, ZONES)]
        self.entries = [Node(self, ip, zone, False) for ip, zone in zip(entry_ips, ZONES)]
        self.nodes = self.controls + self.entries
        self.watching = False
        self.ended = []  # Processes that ended by themselves: (address, status).

    def start(self):
        for node in self.nodes:
            node.start(True)

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def restart_ended(self):
        """The platform restarts a process that ends, after a short delay."""
        while True:
            await asyncio.sleep(0.2)
            for node in self.nodes:
                if node.process is not None and node.process.poll() is not None and not getattr(node, "held", False):
                    self.ended.append((node.ip, node.process.returncode))
                    self.record.note(f"process ended by itself {node.ip} status={node.process.returncode}")
                    await asyncio.sleep(0.3)
                    node.start(False)

    def leader_in_logs(self):
        """Returns the control process that took the lead last, by the logs."""
        best = None
        for node in self.controls:
            if not node.alive():
                continue
            terms = [int(line.split("id=")[1].split()[0]) for line in node.log().splitlines() if "decision=leads " in line]
            if terms and (best is None or terms[-1] > best[0]):
                best = (terms[-1], node)
        return None if best is None else best[1]


async def request(ip, port, method, path, body=None, timeout=3.0, host=None, deadline_ms=None):
    """One call on a connection of its own. Returns the status, 0 without an answer, and the body. The path may be bytes."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            text = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            target = path if isinstance(path, bytes) else path.encode()
            writer.write(method.encode() + b" " + target + f" HTTP/1.1\r\nHost: {host or ip}\r\nContent-Type: application/json\r\n"
                         f"Rosemaryturn-Deadline-Ms: {deadline_ms or int(timeout * 1000)}\r\nConnection: close\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")), 0)
            return status, await reader.readexactly(length)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Client:
    """The operator and the clients."""

    def __init__(self, system):
        self.system, self.record = system, system.record

    async def put_config(self, config, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for node in random.sample(self.system.controls, len(self.system.controls)):
                status, _ = await request(node.ip, self.system.control_port, "PUT", "/api/config", config, 1.5)
                self.record.note(f"operator PUT config version={config['version']} to {node.ip} -> {status}")
                if status == 200:
                    return True
            await asyncio.sleep(0.3)
        return False

    async def get_config(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for node in random.sample(self.system.controls, len(self.system.controls)):
                status, body = await request(node.ip, self.system.control_port, "GET", "/api/config", None, 1.5)
                self.record.note(f"operator GET config from {node.ip} -> {status} {len(body)} bytes")
                if status == 200:
                    return json.loads(body)
            await asyncio.sleep(0.3)
        return None

    async def call(self, method, job, body=None, prefix=PREFIX, host=HOST, entry=None, quiet=False, timeout=3.0):
        node = entry or random.choice(self.system.entries)
        status, answer = await request(node.ip, self.system.front_port, method, prefix + job, body, timeout, host)
        if not quiet:
            self.record.note(f"client {method} {prefix}{job} to {node.ip} -> {status} {answer[:120].decode(errors='replace')}")
        return status, answer

    async def submit(self, job, body, seconds=20, quiet=False, timeout=3.0):
        """Sends a job until it is accepted."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _ = await self.call("POST", job, body, quiet=quiet, timeout=timeout)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.0 if status in (429, 503) else 0.3)
        return False

    async def state(self, job, seconds=10, quiet=False):
        """Asks for a job's state until there is an answer. Returns the state, or 410, or None."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, answer = await self.call("GET", job, quiet=quiet)
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return 410
            await asyncio.sleep(0.3)
        return None


def config(version=1, attempts=3, timeout_ms=3000, recommendation=None):
    route = {"name": "route-1", "host": HOST, "pathPrefix": PREFIX, "kind": "non_idempotent", "timeoutMs": timeout_ms, "targetLatencyMs": 1200,
             "priority": 1, "service": SERVICE, "maxAttempts": attempts, "slackFactor": 2.2}
    if recommendation:
        route["recommendation"] = recommendation
    return {"version": version, "routes": [route],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False, "admissionCheck": False,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Worker:
    """A worker as the pages describe it: leases on its own steady clock, fencing tokens, numbered ends, stops, gangs."""

    def __init__(self, system, name, number, cpu=16000, beats=True):
        self.system, self.record, self.name = system, system.record, name
        self.ip = f"{system.net}.{100 + number}"
        self.zone = ZONES[number % 3]
        self.cpu = cpu
        self.duration = lambda task, spec: 1.0  # Seconds that a task takes.
        self.outcome = lambda task, run: "done"
        self.gang_of = lambda task: None  # Returns the gang of a task, if it belongs to one.
        self.on_start = None  # Called with the worker, the task and the run.
        self.starts = []  # (seconds, task, run, spec).
        self.ended = []  # (seconds, task, run, how).
        self.pipes = set()
        self.endpoint = None
        self.beating = beats
        self.cut = False  # No bytes pass in either direction.
        self.up = False
        self.state = "ready"
        self.one_way_s = 0.0  # The network's delay to this worker.
        self.tasks = []

    async def boot(self):
        self.up = True
        self.born = int(time.time() * 1000)
        self.life = object()
        self.began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.closed = {}
        self.ends = []
        self.next_end = 1
        self.sequence = 0
        self.changed = asyncio.Event()
        if not hasattr(self, "server"):
            self.server = await asyncio.start_server(self.serve, self.ip, 0)
            self.port = self.server.sockets[0].getsockname()[1]
            self.tasks.append(asyncio.ensure_future(self.beat()))
            self.tasks.append(asyncio.ensure_future(self.guard()))
        self.record.note(f"worker {self.name} starts born={self.born}")

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def crash(self):
        self.record.note(f"worker {self.name} crashes with {sorted(self.running)}")
        self.up = False
        self.life = object()
        self.running = {}
        self.drop()

    def drop(self):
        for writer in list(self.pipes):
            writer.transport.abort()

    def finish(self, task, how):
        run = self.running.pop(task)
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.ends.append([self.next_end, task, run, how, ""])
        self.ended.append((time.monotonic(), task, run, how))
        self.record.note(f"worker {self.name} ends {task} run={run} {how} n={self.next_end}")
        self.next_end += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def check_lease(self):
        if self.running and self.clock() > self.lease:
            for task in list(self.running):
                self.finish(task, "lapsed")

    async def guard(self):
        while True:
            await asyncio.sleep(0.02)
            if self.up:
                self.check_lease()

    def renew(self, body):
        self.lease = max(self.lease, min(body.get("deadlineMs", 0), self.clock() + MAX_HOLD_MS))

    async def work(self, life, task, run, seconds):
        await asyncio.sleep(seconds)
        if self.life is life and self.running.get(task) == run:
            self.check_lease()
            if task in self.running:
                self.finish(task, self.outcome(task, run))

    async def stop_later(self, life, task, run):
        await asyncio.sleep(0.05)
        if self.life is life and self.running.get(task) == run:
            self.finish(task, "stopped")

    def start(self, body):
        self.check_lease()
        token, task, run = body.get("fencingToken", 0), body["task"], body["run"]
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        if 0 < body.get("deadlineMs", 0) < self.clock():
            return 409, {"reason": "late"}
        self.renew(body)
        if self.running.get(task) == run:
            return 200, {}
        if task in self.running or run <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        self.running[task] = run
        self.starts.append((time.monotonic(), task, run, body["spec"]))
        self.record.note(f"worker {self.name} starts {task} run={run} fence={token}")
        asyncio.ensure_future(self.work(self.life, task, run, self.duration(task, body["spec"])))
        if self.on_start:
            self.on_start(self, task, run)
        return 200, {}

    def stop(self, body):
        token, task, run = body.get("fencingToken", 0), body["task"], body["run"]
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        if self.running.get(task) == run:
            asyncio.ensure_future(self.stop_later(self.life, task, run))
        else:
            self.closed[task] = max(run, self.closed.get(task, 0))
        return 200, {}

    async def hold(self, body):
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        self.check_lease()
        self.renew(body)
        cursor = body.get("ackCursor", 0)
        if any(end[0] <= cursor for end in self.ends):
            self.record.note(f"worker {self.name} ends up to {cursor} are taken note of")
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        self.check_lease()
        return 200, {"running": [[task, run, "", 50, 0] for task, run in self.running.items()], "finished": self.ends[:500], "born": self.born}

    async def serve(self, reader, writer):
        if not self.up:
            writer.transport.abort()
            return
        life = self.life
        self.pipes.add(writer)
        try:
            while self.life is life:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                path = lines[0].split(" ")[1]
                headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:] if ":" in line}
                text = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(self.one_way_s)
                if self.life is not life:
                    break
                if headers.get("rosemaryturn-expected-instance", self.name) != self.name:
                    status, answer = 421, {}
                else:
                    body = json.loads(text or b"{}")
                    if path == "/api/hold":
                        status, answer = await self.hold(body)
                    elif path == "/api/run-start":
                        status, answer = self.start(body)
                    elif path == "/api/run-stop":
                        status, answer = self.stop(body)
                    else:
                        status, answer = 200, {}
                if self.life is not life:
                    break
                clock = self.clock()
                await asyncio.sleep(self.one_way_s)
                out = json.dumps({"clockMs": clock, **answer}).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(out)}\r\n\r\n".encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.pipes.discard(writer)
            writer.close()

    def heartbeat(self):
        self.sequence += 1
        return {"service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                "coldRemainingMs": 0, "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": ["a", f"r{self.zone[-1]}-1"],
                "clockMs": self.clock(), "sequence": self.sequence, "born": self.born, "machine": f"m-{self.name}"}

    async def beat(self):
        while True:
            if self.up and self.beating:
                body = self.heartbeat()
                targets = [node.ip for node in random.sample(self.system.controls, len(self.system.controls))]
                if self.endpoint:
                    targets = [self.endpoint] + [ip for ip in targets if ip != self.endpoint]
                for ip in targets:
                    status, answer = await request(ip, self.system.control_port, "PUT", f"/api/instances/{self.name}", body, 1.0)
                    if status == 200:
                        named = json.loads(answer or b"{}").get("heartbeatEndpoint")
                        self.endpoint = named.split(":")[0] if named else ip
                        break
                    self.endpoint = None
            await asyncio.sleep(HEARTBEAT_MS / 1000)


async def prepare(system, workers, plan):
    """Starts everything and waits until a job can be done."""
    system.start()
    client = Client(system)
    if not await client.put_config(plan):
        raise CannotRun("the first configuration wasn't accepted")
    for worker in workers:
        await worker.boot()
    await asyncio.sleep(3)
    return client


def run_case(folder, case, **options):
    """Runs a case with a bound on its time. The case returns HELD or BROKEN."""
    record = Record(folder)
    system = None

    async def bounded():
        async with asyncio.timeout(114):
            return await case(system)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # So that the processes are ended as well.
    status = NOT_RUN
    try:
        system = System(record, **options)
        record.note(f"trouble={'yes' if TROUBLE else 'no'}")
        status = asyncio.run(bounded())
    except CannotRun as error:
        record.note(f"can't run: {error}")
    except asyncio.TimeoutError:
        record.note("can't run: out of time")
    finally:
        if system is not None:
            system.stop()
    record.note(f"result {['the rule held', 'the rule was broken', 'the case could not run'][status]}")
    sys.exit(status)
