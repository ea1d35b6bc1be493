import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet  # noqa: E402

EVENTS = 12
STREAMS = 800
ENGINES = 3  # of each service; one of them is faulty: .333
EACH = 51  # of a faulty engine's answers, one in so many is broken off: under .02
BROKEN_AFTER = 7  # whole events, then half of one


class StreamingEngine(fleet.Engine):
    """Answers streams without a length and chunks, ends them with the connection, and may break off inside an event."""

    def __init__(self, *args, breaks, **options):
        super().__init__(*args, **options)
        self.breaks = breaks
        self.broken = []

    async def answer(self, start, headers, body, writer):
        if "token-usage" not in headers or headers.get("expect-instance", self.id) != self.id:
            return await super().answer(start, headers, body, writer)
        request = headers["request-id"]
        self.ran.append(request)
        breaks = self.breaks and len(self.ran) % EACH == 0
        self.record(f"engine {self.name}: runs {request} {start}")
        await asyncio.sleep(0.02)
        writer.write(fleet.message("HTTP/1.1 200 OK", [("Request-Id", request),
                                                       ("Response-Stamp", f"{self.name}.{len(self.ran)}"),
                                                       ("Content-Type", "text/event-stream"),
                                                       ("Connection", "close")]))
        for number in range(1, EVENTS + 1):
            event = self.event(request, number)
            if breaks and number > BROKEN_AFTER:
                writer.write(event[:len(event) // 2])
                break
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(0.004)
        await writer.drain()
        if breaks:
            self.broken.append(request)
        self.record(f"engine {self.name}: {'breaks off' if breaks else 'has answered'} {request}")
        raise ConnectionResetError  # closes the connection


async def client(deployment, node, request):
    ip, port = node.frontend.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    body = b"p" * 3000
    writer.write(fleet.request_head("POST", "/sheet/2f", request, len(body), 39000, 50) + body)
    deployment.record(f"client: sends {request}")
    head = await fleet.read_head(reader)
    got, complete = b"", True
    try:
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                got += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            got = await reader.readexactly(int(head[1]["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError) as problem:
        got += getattr(problem, "partial", b"")
        complete = False
    writer.close()
    deployment.record(f"client: {request}: {head[0]!r}, {got.count(b'data: ')} events, "
                      f"{'whole' if got.endswith(b'x' + bytes([10, 10])) else 'ends inside an event'}, "
                      f"the answer looks {'complete' if complete else 'incomplete'}")
    return " 200 " in head[0], complete


async def scenario(deployment):
    await deployment.start(nodes=2, engines=0, app=0)
    engines = []
    for service, name in (("engines", "anvil"), ("app", "web")):
        for i in range(ENGINES):
            it = StreamingEngine(f"{name}-{i}", deployment.record, breaks=deployment.trouble and i == 0)
            await it.start()
            engines.append(it)
            await deployment.store.put("servers", it.id, it.entry(service, "dk-east-a"))
    # Split like the second route of the example of `fleetbench wire`, where the weights are 90 and 10.
    value = fleet.configuration(9)
    value["routes"][0].pop("service")
    value["routes"][0]["traffic-split"] = [{"service": "engines", "weight": 50}, {"service": "app", "weight": 50}]
    await deployment.store.put("config", "main", value)
    await asyncio.sleep(3)
    requests = [f"stream-{i}" for i in range(STREAMS)]
    answers = []
    for first in range(0, STREAMS, 16):
        answers += await asyncio.gather(*(client(deployment, deployment.nodes[i % 2], f"stream-{i}")
                                          for i in range(first, first + 16)))
    broken = {it: engine.name for engine in engines for it in engine.broken}
    if sum(len(it.ran) for it in engines) < STREAMS // 2 or not any(it.ran for it in engines if it.name[0] == "w"):
        raise RuntimeError("too few streams were run")
    false = [f"{it} ({broken[it]})" for it, (good, complete) in zip(requests, answers) if it in broken and good and complete]
    lost = [it for it, (good, complete) in zip(requests, answers) if it not in broken and not (good and complete)]
    deployment.record(f"broken off by their engine: {len(broken)}; of these, complete to their client: {false}")
    deployment.record(f"answered in full by their engine, but not so to their client: {lost}")
    return bool(false)


fleet.main(os.path.dirname(os.path.abspath(__file__)), scenario)
