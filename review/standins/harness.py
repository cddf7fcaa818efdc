"""Stand-ins for the platform's store, back ends and clients, and the start of
entry processes, for the cases of this review. Python's standard library only.

All stand-ins run on one asyncio loop; the entry processes are started with the
command of deploy/system.toml. Every address is a loopback address.
"""
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
import traceback
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
PAGE_OBJECTS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576
MEMORY_MB = 260
MAX_PLAY_S = 112


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# --- HTTP ------------------------------------------------------------------


class Message:
    """One HTTP request or response."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers  # names in lower case
        self.body = body

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


async def read_message(reader, is_response=False):
    """Returns the next message, or None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers, is_response)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


async def read_body(reader, headers, is_response):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


async def cancel_all(tasks):
    """Ends all tasks. One cancellation isn't always enough, since wait_for()
    loses one that comes together with its result."""
    pending = set(tasks)
    for _ in range(20):
        if not pending:
            return
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=0.2)


def response(status, headers=(), body=b""):
    reasons = {200: "OK", 410: "Gone", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset, as a process that dies does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """A TCP server that can be stopped like a process and started again."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.server = None
        self.writers = set()
        self.serving = set()  # tasks

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=4 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def end(self):
        """Stops it for good."""
        await self.stop()
        await cancel_all(self.serving)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.serving.add(asyncio.current_task())
        try:
            await self.serve(reader, writer)
        except (ConnectionError, OSError):
            pass
        finally:
            self.serving.discard(asyncio.current_task())
            self.writers.discard(writer)
            try:
                writer.close()
            except (ConnectionError, OSError, RuntimeError):
                pass

    async def serve(self, reader, writer):
        raise NotImplementedError


# --- The platform's store --------------------------------------------------


class Store(Server):
    """The platform's store: paged lists and watches (PROTOCOL)."""

    def __init__(self, record, ip="127.0.0.1"):
        super().__init__(ip, 0)
        self.record = record
        self.revision = 1
        self.objects = {}  # kind -> name -> (revision, text of the spec)
        self.history = []  # (revision, kind, name, text of the spec, deleted)
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Stores an object; `spec` is a value, or the text of one."""
        text = spec if isinstance(spec, str) else json.dumps(spec)
        if len(text) > VALUE_BYTES:
            raise CannotRun("value is larger than valueBytes")
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, text)
        self._note(kind, name, text, False)

    def remove(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self.revision += 1
            self._note(kind, name, entry[1], True)

    def _note(self, kind, name, text, deleted):
        self.history.append((self.revision, kind, name, text, deleted))
        self.record.write(f"store: {kind}/{name} "
                          f"{'removed' if deleted else 'written'}, "
                          f"revision {self.revision}, {len(text)} bytes")
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _object(name, revision, text):
        return (f'{{"meta":{{"name":{json.dumps(name)},"revision":{revision},'
                f'"created":1,"finalizers":[],"deleting":false}},'
                f'"spec":{text},"status":null}}')

    def _list(self, kind, after):
        items, size, more = [], 0, False
        for name in sorted(self.objects.get(kind, {})):
            if after is not None and name <= after:
                continue
            if len(items) == PAGE_OBJECTS or size >= PAGE_BYTES:
                more = True
                break
            revision, text = self.objects[kind][name]
            items.append(self._object(name, revision, text))
            size += len(items[-1])
        return (f'{{"items":[{",".join(items)}],"more":'
                f'{"true" if more else "false"},"currentRev":{self.revision}}}')

    def _events(self, kind, since):
        return [f'{{"deleted":{"true" if deleted else "false"},"object":'
                f'{self._object(name, revision, text)}}}'
                for revision, of, name, text, deleted in self.history
                if of == kind and revision > since]

    async def _watch(self, kind, since, wait_s):
        deadline = time.monotonic() + wait_s
        while not (events := self._events(kind, since)):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        return f'{{"events":[{",".join(events)}],"currentRev":{self.revision}}}'

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            parts = urlsplit(request.target)
            query = parse_qs(parts.query)
            kind = unquote(parts.path).removeprefix("/objects/")
            if "watch" in query:
                wait_s = min(30.0, int(query.get("waitMs", ["0"])[0]) / 1000)
                text = await self._watch(kind, int(query["watch"][0]), wait_s)
            else:
                text = self._list(kind, query.get("after", [None])[0])
            writer.write(response(200, [("Content-Type", "application/json")],
                                  text.encode("utf-8")))
            await writer.drain()


# --- Back ends -------------------------------------------------------------


class Backend(Server):
    """One back end. Overrides of `run` return the bytes of the answer, or None
    to end the connection."""

    def __init__(self, record, name, service, ip, zone="za", work_s=0.01,
                 slots=5):
        super().__init__(ip, 0)
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, id of the request, path)
        self.arrivals = []  # the same, of all requests that arrived
        self.is_up = False

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    async def start(self):
        await super().start()
        self.is_up = True

    async def crash(self, down_s):
        """Ends like a killed process and is back under its id."""
        if not self.is_up:
            return
        self.is_up = False
        self.record.write(f"back end {self.name}: crashed")
        await self.stop()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        self.record.write(f"back end {self.name}: is back")

    def answer(self, request):
        stamp = f"{self.name}.{len(self.runs)}"
        return response(200, [
            ("X-Request-Id", request.headers.get("x-request-id", "")),
            ("X-Server-Stamp", stamp)], b"r" * 16)

    async def run(self, request):
        await asyncio.sleep(self.work_s)
        return self.answer(request)

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            request_id = request.headers.get("x-request-id", "")
            seen = (time.monotonic(), request_id, request.target)
            self.arrivals.append(seen)
            if request.headers.get("x-expected-instance") != self.name:
                writer.write(response(421, [("X-Instance-Id", self.name),
                                            ("X-Not-Executed", "1")]))
                await writer.drain()
                continue
            self.record.write(f"back end {self.name}: got {request.method} "
                              f"{request.target} id={request_id} deadline="
                              f"{request.headers.get('x-deadline-ms')}")
            self.runs.append(seen)
            answer = await self.run(request)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()


# --- Clients ---------------------------------------------------------------


class Client:
    """A client with one connection, opened on first use."""

    all_open = set()

    def __init__(self, record, entry, name="client"):
        self.record = record
        self.entry = entry
        self.name = name
        self.reader = None
        self.writer = None

    async def request(self, path, host="shop.example", method="GET", body=b"",
                      deadline_ms=2000, request_id=None, timeout_s=None):
        """Returns the status of the answer, or None if there is none."""
        request_id = request_id or f"{random.getrandbits(64):016x}"
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        started = time.monotonic()
        answer = None
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.entry.ip, self.entry.front,
                                            limit=4 * 1024 * 1024), 1)
                Client.all_open.add(self)
            self.writer.write(head.encode() + b"\r\n" + body)
            answer = await asyncio.wait_for(
                read_message(self.reader, True),
                timeout_s or deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            pass
        ms = (time.monotonic() - started) * 1000
        self.record.write(
            f"{self.name} -> {self.entry.name}: {method} {path} "
            f"{len(body)} bytes id={request_id} = "
            f"{answer.status if answer else 'no answer'} after {ms:.0f} ms")
        if answer is None or answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        Client.all_open.discard(self)


async def request_once(record, entry, path, **arguments):
    client = Client(record, entry)
    answer = await client.request(path, **arguments)
    client.close()
    return answer.status if answer else None


# --- Entry processes -------------------------------------------------------


class Entry:
    """One machine: its settings file and its entry process."""

    def __init__(self, system, number):
        self.system = system
        self.number = number
        self.name = f"front-{number}"
        self.ip = f"{system.network}.{number + 1}"
        self.front = system.port
        self.process = None
        self.settings_path = system.folder / f"node{number}.yaml"
        self.log_path = system.folder / f"node{number}.log"

    def write_settings(self):
        def at(offset):
            return f'"{self.ip}:{self.system.port + offset}"'
        seeds = "\n".join(f'  - "{self.system.network}.{n + 1}:'
                          f'{self.system.port + 2}"'
                          for n in range(min(3, self.system.count)))
        zone = "z" + "abc"[self.number % 3]
        self.settings_path.write_text(f"""nodeName: "{self.name}"
role: "entry"
machineClass: "front"
serves: ["front", "control", "directory"]
ip: "{self.ip}"
zone: "{zone}"
region: "north"
zones: {{za: "north", zb: "north", zc: "north"}}
listenAddresses:
  front: {at(0)}
  ready: {at(1)}
  control: {at(2)}
  directory: {at(3)}
internalPortRange: [{self.system.port + 4}, {self.system.port + 9}]
seeds:
{seeds}
bootstrap: true
inTolerance: false
limits: {{cpuShare: 0.25, cores: 1, memoryMb: {MEMORY_MB}, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}}
dataDir: null
discovery: "platform"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
faultTolerance: {{machines: 2, zones: 0, regions: 0}}
bounds:
  seedLagS: 3
  reuseAfterS: 2
  stabilityWindowMs: 4000
  ackTimeoutMs: 5000
  catchUpS: 4
  drainMs: 3000
  gracePeriodS: 6
  lossSlackMs: 200
  configApplyMs: 3000
  regressionWindowMs: 250
  outerMs: 12000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 52
  recoveryS: 12
  ttl_max_s: 5
platform:
  address: "{self.system.store.address}"
  form: "objects"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: {VALUE_BYTES}
  ttlMinMs: 1000
""")

    def start(self):
        if self.system.ended:
            return
        program = ROOT / "target/platform/tarragon-entry"
        if not program.exists():
            raise CannotRun("target/platform/tarragon-entry is not built")
        self.write_settings()
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", "/"),
                       "TARRAGONCOVE_NODE_FILE": str(self.settings_path)}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["target/platform/tarragon-entry", "--metrics-port",
                 str(self.system.port + 9)],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        self.system.record.write(f"{self.name}: started")

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self, number=signal.SIGKILL):
        if self.running:
            self.process.send_signal(number)

    def peak_memory_mb(self):
        """Returns the peak of the resident memory of the process."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            name, _, rest = line.partition(":")
            if name == "VmHWM":
                return int(rest.split()[0]) / 1024
        return 0.0

    async def get(self, offset, path, timeout_s=2.0):
        """Calls another server of the machine; returns the answer or None."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.system.port + offset), 1)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {self.ip}\r\n"
                         "Connection: close\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_message(reader, True),
                                            timeout_s)
            writer.close()
            return answer
        except (OSError, asyncio.TimeoutError):
            return None

    async def is_ready(self):
        answer = await self.get(1, "/ready")
        return answer is not None and answer.status == 200


class System:
    """A small deployment: a store, entry processes and back ends."""

    def __init__(self, record, count):
        self.record = record
        self.count = count
        self.folder = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.port = free_port_range(self.network, count)
        self.store = Store(record)
        self.entries = [Entry(self, number) for number in range(count)]
        self.backends = []
        self.tasks = []
        self.ended = False

    async def add_backend(self, name, service, **arguments):
        kind = arguments.pop("kind", Backend)
        backend = kind(self.record, name, service,
                       f"{self.network}.{100 + len(self.backends)}",
                       **arguments)
        await backend.start()
        self.backends.append(backend)
        self.store.put("servers", name, backend.entry())
        return backend

    def put_config(self, version, routes, services, limits=None):
        self.store.put("config", "main", {
            "version": version, "routes": routes,
            "services": [{"name": name, "healthCheckPath": "/health",
                          "maxConnections": connections, "protocol": "h1",
                          "tls": False}
                         for name, connections in services.items()],
            "limits": limits or {"maxHeaderBytes": 16384,
                                 "maxBodyBytes": 262144,
                                 "headerTimeoutMs": 3000,
                                 "idleTimeoutMs": 15000}})

    async def start_entries(self):
        for entry in self.entries:
            entry.start()
        deadline = time.monotonic() + 15
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > deadline or not entry.running:
                    raise CannotRun(f"{entry.name} is not ready in time")
                await asyncio.sleep(0.1)
        self.record.write("all entry processes are ready")

    def task(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def stop(self):
        # Ends the processes before anything that could be interrupted.
        self.ended = True
        for entry in self.entries:
            if entry.running:
                entry.process.kill()
                entry.process.wait()
        await cancel_all(self.tasks)
        for client in list(Client.all_open):
            client.close()
        for server in [self.store, *self.backends]:
            await server.end()
        await asyncio.sleep(0.1)
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port_range(network, count):
    """Returns a port that is free, with the nine after it, on all machines."""
    for _ in range(50):
        port = random.randrange(20000, 30000)
        sockets = []
        try:
            for number in range(count):
                for offset in range(10):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.bind((f"{network}.{number + 1}", port + offset))
            return port
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free ports")


def route(name, prefix, **fields):
    return {"name": name, "hostname": "shop.example", "pathPrefix": prefix,
            "type": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 200,
            "priority": 1, "attempts": 2, **fields}


def main(case, folder, count):
    """Runs `case(system, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def play():
        # Ends the entry processes also when the script is stopped.
        current = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, current.cancel)
        system = System(record, count)
        try:
            await system.store.start()
            return await asyncio.wait_for(case(system, trouble), MAX_PLAY_S)
        finally:
            await system.stop()

    try:
        held = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        # A mistake of the stand-ins must not look like a broken rule.
        record.say(f"the case could not run: {error!r}")
        traceback.print_exc()
        sys.exit(CANNOT_RUN)
    record.say("rule held" if held else "rule broken")
    sys.exit(HELD if held else BROKEN)
