"""What the scripts of these cases share: the platform's store, hosts of anvillead, engines, clients and the record."""
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
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NODE = os.path.join(ROOT, "target", "bin", "anvillead-node")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "roster.example"
KEY = "key-galle"


def dump(value):
    return json.dumps(value, separators=(",", ":"))


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.started = time.time()
        self.lines = []
        self.say(f"trouble: {'yes' if TROUBLE else 'no'}")

    def say(self, text, at=None):
        self.lines.append(((at or time.time()) - self.started, text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda it: it[0]):
                file.write(f"{at:9.3f} s  {text}\n")


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.append((name.lower(), value.strip()))
    return lines[0], dict(headers)


async def read_body(reader, headers):
    """The bytes of the body, and whether it came to its end."""
    out = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                out += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return out, True
        if "content-length" in headers:
            left = int(headers["content-length"])
            while left > 0:
                data = await reader.read(min(left, 65536))
                if not data:
                    return out, False
                out += data
                left -= len(data)
            return out, True
        while True:
            data = await reader.read(65536)
            if not data:
                return out, True
            out += data
    except (asyncio.IncompleteReadError, ConnectionError) as problem:
        return out + getattr(problem, "partial", b""), False


class Store:
    """The platform's metadata store: objects by kind and name, lists, watches, one revision counter."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.changed = None
        self.link = None
        self.refuses = set()  # numbers of the hosts that the store turns away with 503
        self.addresses = {}  # a port for each host, which tells the store who calls

    async def start(self, hosts):
        self.changed = asyncio.Condition()
        self.link = asyncio.Lock()
        for number in range(1, hosts + 1):
            server = await asyncio.start_server(lambda r, w, n=number: self.serve(r, w, n), "127.0.0.1", 0)
            self.addresses[number] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        """`spec` may also be a JSON text."""
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deletion-pending": False}
        text = spec if isinstance(spec, str) else dump(spec)
        value = f'{{"metadata":{dump(metadata)},"spec":{text},"status":null}}'
        self.kinds.setdefault(kind, {})[name] = value
        self.events.append((self.revision, kind, value, False))
        async with self.changed:
            self.changed.notify_all()
        return value

    async def remove(self, kind, name):
        value = self.kinds.get(kind, {}).pop(name, None)
        if value is not None:
            self.revision += 1
            self.events.append((self.revision, kind, value, True))
            async with self.changed:
                self.changed.notify_all()

    async def watch(self, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            found = [f'{{"deleted":{dump(gone)},"object":{value}}}' for revision, k, value, gone in self.events
                     if k == kind and revision > after]
            left = until - time.monotonic()
            if found or left <= 0:
                return f'{{"events":[{",".join(found)}],"at":{self.revision}}}'
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = [urllib.parse.unquote(it) for it in parts.path.split("/")[1:]]
        if len(path) < 2 or path[0] != "objects":
            return 404, "{}"
        kind = path[1]
        objects = self.kinds.get(kind, {})
        if method == "GET" and len(path) == 2 and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        if method == "GET" and len(path) == 2:
            return 200, self.page([it for it in sorted(objects) if it > query.get("after", "")], objects)
        if method == "GET":
            return (200, objects[path[2]]) if path[2] in objects else (404, "{}")
        value = json.loads(body) if body else {}
        if method == "POST":
            name = value["metadata"]["name"]
            return (409, objects[name]) if name in objects else (200, await self.put(kind, name, value["spec"]))
        if method == "PUT" and path[2] in objects:
            return 200, await self.put(kind, path[2], value["spec"])
        return 404, "{}"

    def page(self, names, objects):
        """PROTOCOL.md: about 500 objects or 1 MB at most."""
        items, size = [], 0
        for it in names:
            if items and (len(items) == 500 or size + len(objects[it]) > 1_048_576):
                break
            items.append(objects[it])
            size += len(objects[it])
        return f'{{"items":[{",".join(items)}],"has-more":{dump(len(items) < len(names))},"at":{self.revision}}}'

    async def serve(self, reader, writer, number):
        try:
            while True:
                start, headers = await read_head(reader)
                method, target, _ = start.split(" ")
                body, _ = await read_body(reader, {"content-length": "0", **headers})
                if number in self.refuses:
                    status, value = 503, "{}"
                else:
                    status, value = await self.handle(method, target, body)
                data = value.encode()
                # The sheet: 4 ms an answer, and a link of 1,000 Mbit/s for all.
                await asyncio.sleep(0.004)
                async with self.link:
                    await asyncio.sleep(len(data) * 8 / 1e9)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


def free_ports(hosts, count):
    """Ports that are free on the addresses of all hosts, below those that the kernel gives to outgoing connections."""
    out = []
    while len(out) < count:
        port = random.randint(12000, 30000)
        try:
            for i in range(1, hosts + 1):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"127.0.0.{i}", port))
        except OSError:
            continue
        if port not in out:
            out.append(port)
    return out


class Stand:
    def __init__(self, folder, hosts=1):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("target/bin/anvillead-node is missing: run the build of the deploy file")
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="anvillead-case-")
        self.hosts = hosts
        names = ("frontend", "ready", "control-plane", "registry", "internal", "metrics")
        self.ports = dict(zip(names, free_ports(hosts, len(names))))
        self.store = Store()
        self.processes = {}
        self.engine_log = os.path.join(self.folder, "engines.log")
        open(self.engine_log, "w", encoding="utf-8").close()
        self.engines = {}

    async def start(self, timeout_ms=30000, services=None):
        await self.store.start(self.hosts)
        self.version = 1
        self.config = {
            "version": 1,
            "routes": [self.route("sheet", "stream", "anvil-roster", timeout_ms, 1),
                       self.route("fixture", "unsafe", "roster-app", 1500, 1),
                       self.route("official", "safe", "roster-app", 1500, 2)],
            "services": services or [
                {"name": "anvil-roster", "health-path": "/healthz", "max-connections": 272, "protocol": "h1",
                 "tls-enabled": False,
                 "engine": {"capacity": 24, "kv-capacity": 34450, "kv-bytes": 18432, "bandwidth-mbps": 2700.0,
                            "moves": True, "backups": True, "stride": 4, "most": 12, "handle-ttl-s": 5.0,
                            "models": [{"name": "m"}]}},
                {"name": "roster-app", "health-path": "/healthz", "max-connections": 100, "protocol": "h1",
                 "tls-enabled": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
            "tenants": [{"name": "galle", "api-keys": [KEY], "priority-class": 1}]}
        await self.store.put("config", "main", self.config)

    @staticmethod
    def route(name, kind, service, timeout_ms, attempts):
        return {"name": name, "hostname": HOST_NAME, "path-prefix": f"/{name}/", "route-type": kind,
                "timeout-ms": timeout_ms, "target-latency-ms": 1800 if kind == "stream" else 300,
                "priority-class": 1, "service": service, "max-attempts": attempts, "public": False,
                "session-affinity": kind == "stream", "stream-resume": False, "target-gap-ms": 180}

    async def start_engine(self, name, service="anvil-roster", **options):
        options = {"id": name, "service": service, "log": self.engine_log, "born": int(time.time() * 1000),
                   "event_ms": 20, "copy_ms": 200, "unframed": False, "keeps_running": False,
                   "work_ms": 60, "down_ms": 2000, **options}
        process = subprocess.Popen([sys.executable, os.path.join(os.path.dirname(__file__), "engine.py"),
                                    json.dumps(options)], stdout=subprocess.PIPE, text=True)
        self.processes[name] = process
        line = await asyncio.get_running_loop().run_in_executor(None, process.stdout.readline)
        if not line.startswith("listening "):
            raise CannotRun(f"engine {name} did not start")
        self.engines[name] = {"address": line.split()[1], "born": options["born"], "service": service}
        await self.list_engine(name, "ready")

    async def put_link_before(self, name):
        """From now on hosts reach the engine over a link that can go dark."""
        link = subprocess.Popen([sys.executable, os.path.join(os.path.dirname(__file__), "link.py"),
                                 self.engines[name]["address"]], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.processes[f"link of {name}"] = link
        line = await asyncio.get_running_loop().run_in_executor(None, link.stdout.readline)
        if not line.startswith("listening "):
            raise CannotRun(f"the link of {name} did not start")
        self.engines[name]["address"] = line.split()[1]

    def make_dark(self, name):
        self.record.say(f"the machine of {name} has no power: new connections to it hang")
        link = self.processes[f"link of {name}"]
        link.stdin.write("dark\n")
        link.stdin.flush()

    async def list_engine(self, name, phase):
        """What the engine writes of itself into the platform's store."""
        it = self.engines[name]
        await self.store.put("servers", name, {
            "service": it["service"], "address": it["address"], "zone": "colombo-a", "version": "v1",
            "capacity": 24 if it["service"] == "anvil-roster" else 6, "phase": phase, "warmup-left-ms": 0,
            "sequence": 1, "born": it["born"]})
        self.record.say(f"the store has accepted: {name} is {phase}")

    async def control(self, name, value):
        host, _, port = self.engines[name]["address"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        data = json.dumps(value).encode()
        writer.write(b"POST /control HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
        await read_head(reader)
        writer.close()

    async def drain(self, name):
        """The engine's notice: it says so itself, and the store has it."""
        await self.control(name, {"draining": True})
        await self.list_engine(name, "draining")

    def kill(self, name, number=signal.SIGKILL):
        self.record.say(f"signal {number.name} to {name}")
        self.processes[name].send_signal(number)

    def settings(self, number):
        ip = f"127.0.0.{number}"
        at = lambda part, host=ip: f"{host}:{self.ports[part]}"
        return {"node-name": f"edge-{number}", "role": "node", "machine-class": "edge",
                "serves": ["edge", "controller", "registry"], "ip": ip,
                "zone": ["colombo-a", "colombo-b", "negombo"][(number - 1) % 3], "region": "lk-west",
                "internal-ports": [self.ports["internal"], self.ports["internal"]],
                "seed-nodes": [at("control-plane", "127.0.0.1")], "bootstrap": True, "heartbeat-ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                              "platform"],
                "listen-addrs": {it: at(it) for it in ("frontend", "ready", "control-plane", "registry")},
                "limits": {"cpu-quota": 0.25, "cpu-cores": 1, "memory-mb": 110, "max-fds": 4100,
                           "bandwidth-mbps": 1000.0, "disk-mb": 0},
                "bounds": {"drain-ms": 2000, "contact-ms": 3000, "grace-s": 8, "retry-budget-ratio": 0.2,
                           "retry-window-s": 10, "retry-slack": 54, "ttl_max_s": 5},
                "platform": {"address": self.store.addresses[number], "form": "objects", "writes-per-s": 400,
                             "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576}}

    def start_node(self, number):
        name = f"edge-{number}"
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(number), file)
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        # The command of the deploy file, with a free port for metrics.
        self.processes[name] = subprocess.Popen([NODE, "--metrics-port", str(self.ports["metrics"])], cwd=ROOT, stdout=log, stderr=log,
                                                env={"PATH": os.environ["PATH"], "ANVILLEAD_BOOT": path})
        self.record.say(f"{name} started")

    async def wait_ready(self, number, seconds=10.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(f"127.0.0.{number}", self.ports["ready"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                start, _ = await read_head(reader)
                writer.close()
                if " 200 " in start:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"edge-{number} does not get ready")

    async def ask(self, number, method, path, request, headers=None, body=b"", quiet=False):
        """One client attempt on a new connection: (status, headers, body, whether the answer came to its end)."""
        fields = {"Host": HOST_NAME, "Request-Id": request, "Authorization": f"Token {KEY}", **(headers or {})}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        if not quiet:
            self.record.say(f"client sends {request}: {method} {path} to edge-{number}")
        try:
            reader, writer = await asyncio.open_connection(f"127.0.0.{number}", self.ports["frontend"])
            writer.write((f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) +
                          "\r\n").encode() + body)
            start, got = await read_head(reader)
            status = int(start.split(" ")[1])
            data, whole = await read_body(reader, got)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            status, got, data, whole = 0, {}, b"", False
        return status, got, data, whole

    async def generate(self, number, request, events, deadline_ms=30000):
        """A stream: (status, numbers of its events, whether the answer came to its end)."""
        status, got, data, whole = await self.ask(
            number, "POST", "/sheet/week", request,
            {"Model": "m", "Token-Usage": f"1200,{4 * events}", "Prefix-Hash": f"5c1e07a2:79,{abs(hash(request)) % 2**32:08x}:1121",
             "Deadline-Ms": str(deadline_ms)}, b"draft the sheet for " + request.encode())
        numbers = [int(it[4:]) for it in data.decode().split("\n") if it.startswith("id: ")]
        self.record.say(f"client got {request}: status {status}, {len(numbers)} events, "
                        f"{'complete' if whole else 'broken off'}, stamp {got.get('response-stamp', 'none')}")
        return status, numbers, whole

    def engine_lines(self):
        with open(self.engine_log, encoding="utf-8") as file:
            return [json.loads(it) for it in file]

    def stop(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
        for it in self.engine_lines():
            fields = ", ".join(f"{k} {v}" for k, v in it.items() if k not in ("at", "engine", "what"))
            if it["what"] == "ended" and "bytes" in it:
                continue
            self.record.say(f"{it['engine']} {it['what']}: {fields}", it["at"])
        self.record.write()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, case, hosts=1):
    """Runs `case(stand)`, which returns a list of sentences that say how the rule was broken. Exits with 1 if there is
    one, with 0 if there is none and with 2 if the case could not run."""
    code = 2
    stand = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        stand = Stand(os.path.dirname(os.path.abspath(folder)), hosts)
        loop = asyncio.new_event_loop()
        broken = loop.run_until_complete(asyncio.wait_for(case(stand), 110))
        for it in broken:
            stand.record.say(f"BROKEN: {it}")
            print(it)
        stand.record.say(f"result: {'the rule was broken' if broken else 'the rule held'}")
        code = 1 if broken else 0
    except (CannotRun, OSError, asyncio.TimeoutError, SystemExit, KeyboardInterrupt) as problem:
        print(f"cannot run: {problem!r}")
        if stand:
            stand.record.say(f"result: could not run: {problem!r}")
    finally:
        if stand:
            stand.stop()
        print({0: "held", 1: "broken", 2: "could not run"}[code], flush=True)
        # Tasks that still wait are given up with the process.
        os._exit(code)
