"""A small deployment for review cases: the project's programs as processes, and stand-ins for workers, clients and the operator.

The stand-ins speak what the users' protocol pages say. Everything that they see is written to the record of the case.
"""

import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import warnings

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT, READY, CONTROL, PEER = 8161, 8167, 8166, 7720
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
          "configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 6000, "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 900,
          "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteSlowdown": 3,
          "checkpointIntervalS": 2, "restoreMs": 100, "noticeMs": 5500, "migrationS": 1.5, "maintenanceS": 2, "fencingEnabled": True, "leaseMs": 3000,
          "thawSlackMs": 300, "paceMs": 100, "interferenceMs": 4000}
HOLD_MAX_MS = BOUNDS["maxHoldMs"]
STOP_S = 0.2  # A stop takes at most stopTimeoutMs.
HEARTBEAT_S = 1.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills in the placeholders of a settings template: {{a}}, {{a.b}}, {{a.0}} and {{a|json}}."""

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(fields, name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.began = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


class Host:
    """A process of the system, started with the command of its role in the deploy file."""

    def __init__(self, cluster, role, number):
        self.cluster, self.role = cluster, role
        self.control = role["on"] == "core"
        self.ip = f"127.{cluster.net}.{1 if self.control else 2}.{number + 1}"
        self.zone = cluster.zones[number % len(cluster.zones)]
        self.name = f"{role['on']}-{number + 1}"
        self.folder = os.path.join(cluster.folder, self.name)
        self.process = None
        os.makedirs(self.folder)

    def settings(self, bootstrap):
        return {"nodeName": self.name, "ip": self.ip, "zone": self.zone, "region": self.zone, "internalPortRange": [PEER, PEER + 15],
                "listenAddresses": {"control": f"{self.ip}:{CONTROL}"} if self.control else {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}"},
                "seeds": [f"{ip}:{CONTROL}" for ip in self.cluster.controls], "bootstrap": bootstrap, "bounds": BOUNDS, "heartbeatMs": 1500,
                "dataDir": os.path.join(self.folder, "data") if self.control else None, "recommendation": None, "cloud": {"address": ""}}

    def start(self, bootstrap=False):
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings(bootstrap))
        path = os.path.join(self.folder, "settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(os.path.join(self.folder, "log"), "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(self.role["run"].split(), cwd=ROOT, env={**env, "ROSEMARYTURN_BOOT": path}, stdout=log, stderr=log)
        self.cluster.record.note(f"host {self.name} {self.ip} starts, pid {self.process.pid}")

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.cluster.record.note(f"host {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Life:
    """One process of a worker."""

    def __init__(self, worker, number):
        self.worker, self.number = worker, number
        self.born = int(time.time() * 1000)
        self.began = now()
        self.fence = 0
        self.lease = 0
        self.runs = {}  # By task: run, percent, checkpoint, cpu.
        self.closed = {}  # By task: the highest run that was stopped or has ended.
        self.ends = []
        self.next_end = 1
        self.alive = True
        self.sequence = 0
        self.changed = asyncio.Event()

    def note(self, text):
        self.worker.cluster.record.note(f"worker {self.worker.id}/{self.number} {text}")

    def clock(self):
        return 1000 + int((now() - self.began) * 1000)

    def end(self, task, how):
        entry = self.runs.pop(task)
        self.closed[task] = max(entry["run"], self.closed.get(task, 0))
        self.ends.append([self.next_end, task, entry["run"], how, entry["saved"]])
        self.next_end += 1
        self.note(f"run {entry['run']} of {task} ends {how}")
        self.worker.cluster.ends.append((now(), self.worker.id, task, entry["run"], how))
        self.changed.set()
        self.changed = asyncio.Event()

    def check_lease(self):
        if self.runs and self.clock() > self.lease:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def renew(self, body):
        self.lease = max(self.lease, min(body.get("deadlineMs", 0), self.clock() + HOLD_MAX_MS))

    def is_running(self, task, run):
        return self.alive and task in self.runs and self.runs[task]["run"] == run

    async def work(self, task, run, seconds, how):
        if seconds is None:
            return  # Lasts until it is stopped.
        await asyncio.sleep(seconds)
        self.check_lease()
        if self.is_running(task, run):
            self.end(task, how)

    async def stop_later(self, task, run):
        await asyncio.sleep(STOP_S)
        if self.is_running(task, run):
            self.end(task, "stopped")

    def fenced(self, body):
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def start(self, body):
        self.check_lease()
        if self.fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        self.renew(body)
        if body.get("deadlineMs", 0) < self.clock():
            return 409, {"reason": "late"}
        if self.is_running(task, run):
            return 200, {}
        if task in self.runs or run <= self.closed.get(task, 0):
            return 409, {"reason": "old"}
        self.runs[task] = {"run": run, "saved": body.get("checkpointed", ""), "percent": 0}
        self.note(f"starts run {run} of {task}")
        self.worker.cluster.starts.append((now(), self.worker.id, task, run))
        seconds, how = self.worker.cluster.behaviour(self.worker, task, run)
        self.runs[task]["percent"] = 100 if seconds is None else 0
        asyncio.ensure_future(self.work(task, run, seconds, how))
        return 200, {}

    def stop(self, body):
        if self.fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        if self.is_running(task, run):
            asyncio.ensure_future(self.stop_later(task, run))
        else:
            self.closed[task] = max(run, self.closed.get(task, 0))
        return 200, {}

    async def hold(self, body):
        if self.fenced(body):
            return 409, {"reason": "fence"}
        self.check_lease()
        self.renew(body)
        cursor = body.get("ackCursor", 0)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        self.check_lease()
        running = [[task, entry["run"], entry["saved"], entry["percent"], 0] for task, entry in self.runs.items()]
        return 200, {"running": running, "finished": self.ends[:500]}

    async def handle(self, path, body):
        if path == "/api/hold":
            return await self.hold(body)
        if path == "/api/run-start":
            return self.start(body)
        if path == "/api/run-stop":
            return self.stop(body)
        return (200, {}) if path == "/api/pace" else (404, {})


class Worker:
    """A worker with its id and address; its process may crash and start again."""

    def __init__(self, cluster, number, cpu):
        self.cluster, self.number, self.cpu = cluster, number, cpu
        self.id = f"i-{number:08x}"
        self.ip = f"127.{cluster.net}.3.{number + 1}"
        self.zone = cluster.zones[number % len(cluster.zones)]
        self.service = "s"
        self.lives = 0
        self.life = None
        self.server = None
        self.pipes = set()
        self.port = 8080

    async def begin(self):
        self.lives += 1
        self.life = Life(self, self.lives)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.life.note(f"begins at {self.ip}:{self.port}, born {self.life.born}")
        asyncio.ensure_future(self.beat(self.life))

    def crash(self):
        """The process ends as if killed: what it ran is gone, its connections are reset."""
        self.life.note(f"crashes with {len(self.life.runs)} runs")
        self.life.alive = False
        self.life.runs = {}
        self.server.close()
        for writer in list(self.pipes):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.close()
        self.pipes.clear()

    async def reboot(self, seconds):
        self.crash()
        await asyncio.sleep(seconds)
        await self.begin()

    async def beat(self, life):
        while life.alive:
            life.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                    "coldRemainingMs": 0, "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "labels": ["a", f"r1-{self.number // 8}"],
                    "clockMs": life.clock(), "sequence": life.sequence, "born": life.born, "machine": f"m-{self.number:05x}"}
            for control in random.sample(self.cluster.controls, len(self.cluster.controls)):
                status, _ = await request(control, CONTROL, "PUT", f"/api/instances/{self.id}", body, 1.0)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        life = self.life
        self.pipes.add(writer)
        try:
            while life.alive:
                method, path, headers, text = await read_request(reader)
                del method
                if not life.alive:
                    break
                expected = headers.get("rosemaryturn-expected-instance", self.id)
                status, answer = (421, {}) if expected != self.id else await life.handle(path, json.loads(text or b"{}"))
                if not life.alive:
                    break
                respond(writer, status, {"clockMs": life.clock(), "born": life.born, **answer})
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.pipes.discard(writer)
            writer.close()


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:] if line)}
    return method, path, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def respond(writer, status, body):
    text = json.dumps(body).encode()
    writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)


async def request(ip, port, method, path, body=None, timeout=3.0, host=None):
    """One call on a connection of its own. Returns the status, 0 without an answer, and the body."""
    writer = None

    async def call():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        text = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host or ip}\r\nContent-Type: application/json\r\n"
                     f"Rosemaryturn-Deadline-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length")), 0)
        return int(head.split(" ", 2)[1]), await reader.readexactly(length)

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Cluster:
    """The hosts, the workers, and what they have seen."""

    def __init__(self, case_folder, workers=8, cpu=16000, cores=3, fronts=3):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = self.free_net()
        self.zones = ["obb-a", "mfr-a", "swb-a"]
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"].values()
        core_role = next(role for role in roles if role["on"] == "core")
        front_role = next(role for role in roles if role["on"] == "frontend")
        self.controls = [f"127.{self.net}.1.{number + 1}" for number in range(cores)]
        self.cores = [Host(self, core_role, number) for number in range(cores)]
        self.fronts = [Host(self, front_role, number) for number in range(fronts)]
        self.next_core = cores
        self.workers = [Worker(self, number, cpu) for number in range(workers)]
        self.behaviour = lambda worker, task, run: (1.0, "done")
        self.starts = []  # (when, worker, task, run)
        self.ends = []  # (when, worker, task, run, how)

    @staticmethod
    def free_net():
        for net in random.sample(range(20, 250), 200):
            with socket.socket() as probe:
                try:
                    probe.bind((f"127.{net}.1.1", PEER))
                    return net
                except OSError:
                    continue
        raise SystemExit(2)

    async def begin(self, plan):
        for host in self.cores + self.fronts:
            host.start(bootstrap=True)
        for worker in self.workers:
            await worker.begin()
        if not await self.put_plan(plan, 30):
            raise RuntimeError("the first configuration was not accepted")
        deadline = now() + 30
        for host in self.fronts:
            while (await request(host.ip, READY, "GET", "/api/readiness", None, 1))[0] != 200:
                if now() > deadline:
                    raise RuntimeError(f"{host.name} isn't ready")
                await asyncio.sleep(0.2)
        await asyncio.sleep(3)

    async def put_plan(self, plan, seconds=10):
        deadline = now() + seconds
        while now() < deadline:
            status, _ = await request(random.choice(self.controls), CONTROL, "PUT", "/api/config", plan, 1.0)
            self.record.note(f"operator PUT config {plan['version']} -> {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def client(self, method, path, body=None, host="q.example", front=None):
        target = front or random.choice(self.fronts)
        status, text = await request(target.ip, FRONT, method, path, body, 3.0, host)
        self.record.note(f"client {method} {path} at {target.name} -> {status} {text.decode(errors='replace')[:200]}")
        return status, text

    async def submit(self, prefix, job_id, job, tries=5):
        """As a client does: the same request again after no clear answer."""
        for _ in range(tries):
            status, _ = await self.client("POST", prefix + job_id, job)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, prefix, job_id, tries=5):
        for _ in range(tries):
            status, text = await self.client("GET", prefix + job_id)
            if status == 200:
                return json.loads(text)["state"]
            if status in (404, 410):
                return str(status)
            await asyncio.sleep(0.5)
        return "unanswered"

    def job_runs(self, job_id):
        return [entry for entry in self.starts if entry[2].startswith(job_id + ".")]

    def job_ends(self, job_id, how=None):
        return [entry for entry in self.ends if entry[2].startswith(job_id + ".") and how in (None, entry[4])]

    def crashed_hosts(self):
        return [host.name for host in self.cores + self.fronts if host.process is not None and host.process.poll() is not None]

    async def replace_core(self, gone, seconds):
        """A control machine is gone for good, with its disk. An empty one comes later at another address."""
        gone.send(signal.SIGKILL)
        gone.end()
        shutil.rmtree(gone.folder, ignore_errors=True)
        self.record.note(f"host {gone.name} is gone for good")
        self.controls.remove(gone.ip)
        self.cores.remove(gone)
        await asyncio.sleep(seconds)
        self.next_core += 1
        successor = Host(self, gone.role, self.next_core - 1)
        self.controls.append(successor.ip)
        self.cores.append(successor)
        successor.start()

    def end(self):
        for host in self.cores + self.fronts:
            host.end()
        if os.environ.get("KEEP"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name="q", prefix="/q/", **changes):
    return {"name": name, "host": "q.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1200, "priority": 1,
            "service": "s", "maxAttempts": 3, "slackFactor": 2.2, **changes}


def plan(version, routes):
    service = {"name": "s", "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False, "admissionCheck": False, "standby": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": [service], "limits": limits}


def run_case(case_folder, scenario, **options):
    """Runs a scenario. Ends with 1 if it returns a broken rule, 0 if it returns nothing, 2 if the case couldn't run."""
    warnings.simplefilter("ignore")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)  # Tasks of the stand-ins are still pending when a case ends.
    cluster = Cluster(case_folder, **options)

    async def play():
        return await asyncio.wait_for(scenario(cluster), 115)

    code = 2
    try:
        broken = asyncio.run(play())
        code = 1 if broken else 0
        cluster.record.note(f"verdict: {broken or 'the rule held'}")
        print(broken or "the rule held")
    except Exception as error:  # pylint: disable=broad-except
        cluster.record.note(f"verdict: the case couldn't run: {error!r}")
        print(f"the case couldn't run: {error!r}")
    finally:
        cluster.end()
    sys.exit(code)
