"""A small deployment of the real programs on loopback addresses, and stand-ins for its clients, its operator and its workers.

The programs are started with the commands of deploy/system.toml and with settings made from deploy/settings.json. The stand-ins do what the users' pages
say of a sound client, operator or worker, and what a case tells them to do beyond that. Everything that is sent, answered and run is written to record.txt
in the folder of the case. Only processes that were started here are signalled, by their id.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT, READY, CONTROL, PEER, METRICS = 8161, 8167, 8166, 7720, 9190
HEARTBEAT_S = 1.5
BOUNDS = {"maxHoldMs": 10000, "stopTimeoutMs": 200, "gangTimeoutMs": 3000, "drainMs": 3000, "graceS": 6}
LIMITS = {"frontend": 260, "core": 256}  # MB, as on the small sites.
STARTUP_S = 40  # Time for the cluster to elect a leader and to take the first configuration.


class CannotRun(Exception):
    """The case couldn't be played; its result says nothing."""


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.began:9.3f} {kind} {text}\n")
        self.file.flush()


def role_command(role):
    """The words of the command of a role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    found = re.search(r"\[roles\." + role + r"\][^\[]*?^run = \"([^\"]+)\"", text, re.M | re.S)
    if found is None:
        raise CannotRun(f"the deploy file has no role {role}")
    return found.group(1).split()


def fill_template(fields):
    """Fills the placeholders of the settings template that the deploy file names."""
    with open(os.path.join(ROOT, "deploy", "settings.json"), encoding="utf-8") as file:
        text = file.read()

    def value_of(match):
        value = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        if match.group(2):
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", value_of, text)


class Node:
    """One process of the system."""

    def __init__(self, deployment, name, role, zone, ip):
        self.deployment, self.name, self.role, self.zone, self.ip = deployment, name, role, zone, ip
        self.folder = os.path.join(deployment.folder, name)
        self.log = os.path.join(self.folder, "log.txt")
        self.process = None
        os.makedirs(self.folder)

    def start(self, first=False):
        core = self.role == "control"
        listen = {"control": f"{self.ip}:{CONTROL}"} if core else {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}"}
        if core:
            os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        fields = {"ip": self.ip, "zone": self.zone, "dataDir": os.path.join(self.folder, "data") if core else None,
                  "internalPortRange": [PEER, PEER + 15], "listenAddresses": listen, "recommendation": self.deployment.advice, "cloud": {},
                  "seeds": [f"{node.ip}:{CONTROL}" for node in self.deployment.cores], "bootstrap": first, "bounds": BOUNDS,
                  "heartbeatMs": int(HEARTBEAT_S * 1000), "limits": {"memoryMb": LIMITS["core" if core else "frontend"]}}
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_template(fields))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(role_command(self.role), cwd=ROOT, env={**environment, "ROSEMARYTURN_BOOT": path}, stdout=log, stderr=log)
        self.deployment.record.note("node-started", name=self.name, ip=self.ip, pid=self.process.pid)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)
            self.deployment.record.note("signal", name=self.name, signal=signal.Signals(number).name)

    def end(self):
        if self.process is not None:
            if self.running():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


def resident_mb(pid):
    """The memory of a process in MB; 0 once it has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) // 1024 for line in file if line.startswith("VmRSS")), 0)
    except OSError:
        return 0


class Worker:
    """A worker: its port, its heartbeats, and its present life. A crash ends the life; a restart begins another one under the same id and address."""

    def __init__(self, deployment, number, service, zone, capacity, labels):
        self.deployment = deployment
        self.id = f"i-{number:08x}"
        self.ip = deployment.address(3, number + 1)
        self.service, self.zone, self.capacity, self.labels = service, zone, capacity, labels
        self.state = "ready"
        self.life = None
        self.connections = set()
        self.server = None
        self.beats = None
        self.endpoint = None
        self.way_s = 0.0  # One way between the leader and the worker.

    async def begin(self):
        self.life = Life(self)
        self.server = await asyncio.start_server(self.serve, self.ip, 8080)
        self.beats = asyncio.ensure_future(self.beat())
        self.deployment.record.note("worker-up", worker=self.id, born=self.life.born)

    async def crash(self):
        """The process ends without a word."""
        self.deployment.record.note("worker-crash", worker=self.id, runs=",".join(self.life.runs))
        self.beats.cancel()
        self.life.crash()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def beat(self):
        sequence = 0
        while True:
            sequence += 1
            life = self.life
            body = {"service": self.service, "address": f"{self.ip}:8080", "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                    "coldRemainingMs": 0, "capacity": self.capacity, "labels": self.labels, "clockMs": life.clock(), "sequence": sequence, "born": life.born}
            if self.state == "draining":
                body["remainingMs"] = BOUNDS["drainMs"]
            targets = [self.endpoint] if self.endpoint else []
            targets += [f"{node.ip}:{CONTROL}" for node in random.sample(self.deployment.cores, len(self.deployment.cores))]
            for target in targets:
                status, answer = await request(target, "PUT", f"/api/instances/{self.id}", body, timeout=1.0)
                if 200 <= status < 300:
                    self.endpoint = json.loads(answer or b"{}").get("heartbeatEndpoint", self.endpoint)
                    break
                self.endpoint = None
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        life = self.life
        self.connections.add(writer)
        try:
            while life.alive:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                path = head.split(" ", 2)[1]
                headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head.split("\r\n")[1:] if ":" in line}
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
                await asyncio.sleep(self.way_s)
                if not life.alive:
                    return
                if headers.get("rosemaryturn-expected-instance", self.id) != self.id:
                    status, answer = 421, {}
                elif path == "/api/hold":
                    status, answer = await life.hold(body)
                elif path == "/api/run-start":
                    status, answer = life.start(body)
                elif path == "/api/run-stop":
                    status, answer = life.stop(body)
                else:
                    status, answer = 404, {}
                await asyncio.sleep(self.way_s)
                if not life.alive:
                    return
                text = json.dumps({"clockMs": life.clock(), "born": life.born, **answer}).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Life:
    """One process of a worker: its clock, its lease, its runs and their ends."""

    def __init__(self, worker):
        self.worker = worker
        self.record = worker.deployment.record
        self.born = int(time.time() * 1000)
        self.began = now()
        self.fence = 0
        self.lease_until = 0
        self.runs = {}  # By task: a Run.
        self.closed = {}  # By task: the highest run that was stopped or has ended here.
        self.ends = []
        self.next_end = 1
        self.alive = True
        self.changed = asyncio.Event()
        self.lease_watch = asyncio.ensure_future(self.watch_lease())

    def clock(self):
        return 1000 + int((now() - self.began) * 1000)

    def crash(self):
        self.alive = False
        self.lease_watch.cancel()
        for task in list(self.runs):
            self.worker.deployment.run_over(self, task, self.runs.pop(task), "crashed")

    async def watch_lease(self):
        while self.alive:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.lease_until:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    def renew(self, body):
        self.lease_until = max(self.lease_until, min(body.get("deadlineMs", 0), self.clock() + BOUNDS["maxHoldMs"]))

    def end(self, task, how):
        run = self.runs.pop(task)
        run.timer.cancel()
        self.closed[task] = max(run.number, self.closed.get(task, 0))
        self.ends.append([self.next_end, task, run.number, how, ""])
        self.next_end += 1
        self.worker.deployment.run_over(self, task, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def start(self, body):
        task, number = body["task"], body["run"]
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        if body.get("deadlineMs", 0) <= self.clock():
            return 409, {"reason": "late"}
        self.renew(body)
        if task in self.runs and self.runs[task].number == number:
            return 200, {}
        if task in self.runs or number <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        run = Run(number)
        self.runs[task] = run
        run.timer = asyncio.ensure_future(self.work(task, run))
        self.worker.deployment.run_begun(self, task, run, body)
        return 200, {}

    async def work(self, task, run):
        seconds, how = self.worker.deployment.outcome_of(task, run.number)
        await asyncio.sleep(seconds)
        if self.alive and self.runs.get(task) is run:
            self.end(task, how)

    def stop(self, body):
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task].number == number:
            self.end(task, "stopped")
        else:
            self.closed[task] = max(number, self.closed.get(task, 0))
        return 200, {}

    async def hold(self, body):
        if body.get("fencingToken", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fencingToken", 0)
        self.renew(body)
        cursor = body.get("ackCursor", 0)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and body.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run.number, "", 100 if now() > run.began + 0.3 else 0, 0] for task, run in self.runs.items()]
        return 200, {"running": running, "finished": self.ends[:500]}


class Run:
    def __init__(self, number):
        self.number = number
        self.began = now()
        self.timer = None


async def request(address, method, path, body=None, timeout=3.0, host=None):
    """One call on a connection of its own. Returns the status, 0 without a complete answer, and the body."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            return await exchange(reader, writer, method, path, body, host or address, timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def exchange(reader, writer, method, path, body, host, timeout):
    text = b"" if body is None else json.dumps(body).encode()
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nRosemaryturn-Deadline-Ms: {int(timeout * 1000)}\r\n"
                 f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
    await writer.drain()
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status = int(head.split(" ", 2)[1])
    length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length")), 0)
    return status, await reader.readexactly(length)


class Deployment:
    """The processes of the system and all stand-ins of one play."""

    def __init__(self, folder, fronts=2):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="rosemaryturn-review-")
        self.net = self.free_net()
        self.advice = ""
        self.nodes = []
        self.cores = []
        self.fronts = []
        for number in range(3):
            self.cores.append(Node(self, f"core-{number + 1}", "control", f"z{number + 1}", self.address(1, number + 1)))
        for number in range(fronts):
            self.fronts.append(Node(self, f"front-{number + 1}", "entry", f"z{number % 3 + 1}", self.address(2, number + 1)))
        self.nodes = self.cores + self.fronts
        self.workers = []
        self.runs = []  # [task, run, worker, begun at, over at, how]
        self.outcomes = {}  # By job id: a function of the task and the run's number that returns seconds of work and the end.
        self.version = 0

    @staticmethod
    def free_net():
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last in (11, 21):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{last}", PEER))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def address(self, kind, number):
        return f"{self.net}.{kind * 10 + number if kind < 3 else 40 + number}"

    # ---- what the workers tell
    def outcome_of(self, task, number):
        return self.outcomes.get(task.split(".")[0], lambda *_: (0.5, "done"))(task, number)

    def run_begun(self, life, task, run, body):
        entry = {"task": task, "run": run.number, "worker": life.worker.id, "born": life.born, "begun": now(), "over": None, "how": None}
        run.entry = entry
        self.runs.append(entry)
        self.record.note("run-begun", task=task, run=run.number, worker=life.worker.id, fence=body.get("fencingToken"))

    def run_over(self, life, task, run, how):
        run.entry["over"], run.entry["how"] = now(), how
        self.record.note("run-over", task=task, run=run.number, worker=life.worker.id, how=how)

    def running(self, prefix):
        return [entry for entry in self.runs if entry["over"] is None and entry["task"].startswith(prefix)]

    # ---- the operator
    async def put_config(self, routes, services=("s",), timeout=30):
        self.version += random.randint(1, 4)
        body = {"version": self.version, "routes": routes, "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False, "admissionCheck": False, "standby": False}
            for name in services], "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        until = now() + timeout
        while now() < until:
            node = random.choice(self.cores)
            status, _ = await request(f"{node.ip}:{CONTROL}", "PUT", "/api/config", body, timeout=1.0)
            self.record.note("config", version=self.version, node=node.name, status=status)
            if status == 200:
                return self.version
            await asyncio.sleep(0.3)
        raise CannotRun("the configuration wasn't acknowledged")

    # ---- clients
    async def call(self, method, path, host, body=None, timeout=3.0, front=None):
        node = front or random.choice([node for node in self.fronts if node.running()])
        status, answer = await request(f"{node.ip}:{FRONT}", method, path, body, timeout, host)
        self.record.note("call", method=method, path=path, node=node.name, status=status, answer=answer.decode(errors="replace")[:120])
        return status, answer

    async def submit(self, path, host, body, tries=5):
        for attempt in range(tries):
            status, _ = await self.call("POST", path, host, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state_of(self, path, host, tries=5):
        """The state of a job, 'gone' for 410, or none without an answer."""
        for _ in range(tries):
            status, answer = await self.call("GET", path, host)
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return "gone"
            await asyncio.sleep(0.3)
        return None

    # ---- the play
    async def begin(self, workers, capacity, routes, service="s", labels=None):
        for node in self.nodes:
            node.start(first=True)
        for number in range(workers):
            room = capacity(number) if callable(capacity) else capacity
            worker = Worker(self, number, service, f"z{number % 3 + 1}", room, labels(number) if labels else ["a", f"r{number // 8}"])
            self.workers.append(worker)
            await worker.begin()
        await self.put_config(routes, (service,), timeout=STARTUP_S)
        until = now() + STARTUP_S
        while now() < until:
            answers = [await request(f"{node.ip}:{READY}", "GET", "/api/readiness", timeout=1.0) for node in self.fronts]
            if all(status == 200 for status, _ in answers):
                await asyncio.sleep(3.0)  # Two heartbeats of each worker.
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the cluster didn't become ready")

    def end(self):
        for node in self.nodes:
            node.end()
        for worker in self.workers:
            if worker.life is not None:
                worker.life.alive = False
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name="q", prefix="/q/", **fields):
    return {"name": name, "host": "q.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1200, "priority": 1,
            "service": "s", "maxAttempts": 3, "slackFactor": 2.2, **fields}


def job_id():
    return f"{random.getrandbits(64):016x}"


def play(case, folder, fronts=2):
    """Runs a case: case(deployment, trouble) returns a list of breaches. Exits with 1 if there is one, with 0 if not, and with 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # Ends the processes, too.
    try:
        if not os.path.exists(os.path.join(ROOT, role_command("control")[0])):
            raise CannotRun("the program isn't built; see the build command of deploy/system.toml")
        deployment = Deployment(folder, fronts)
        breaches = asyncio.run(asyncio.wait_for(case(deployment, trouble), 110))
        for text in breaches:
            deployment.record.note("BREACH", text=text)
            print("broken:", text)
        code = 1 if breaches else 0
        print("result:", "the rule was broken" if breaches else "the rule held")
    except Exception as error:  # A fault of the script itself says nothing of the rule either.
        print("the case couldn't run:", repr(error))
    finally:
        if deployment is not None:
            deployment.record.note("end", code=code)
            deployment.end()
    sys.stdout.flush()
    os._exit(code)
