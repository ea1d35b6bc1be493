"""Stand-in for one engine of the users' platform, as PROTOCOL.md describes it; a process of its own.

Started with one argument, a JSON object:
  id, service       the engine's id and its service
  log               file to which each run and each end is appended, one JSON object a line
  born              Unix millisecond of its start
  event_ms          time between two events of a stream
  copy_ms           time that one copy of a generation's memory takes; copies take turns
  unframed          answers have neither a length nor chunks and end with their connection
  keeps_running     a run goes on when its connection closes (PROTOCOL.md: "Most engines drop a request ...")
  work_ms           time that a plain request runs
  down_ms           time after a crash until the engine starts again, under its id and at its address
Prints "listening IP:PORT". POST /control takes: draining; crash; lose_answers (so many answers end early
while their runs go on: those of generations whose memory has just been copied while another copy waits for the link).
"""
import asyncio
import json
import os
import sys
import time

options = json.loads(sys.argv[1])
runs = {}      # request id -> run
copies = {}    # handle -> (request id, events made)
link = None    # copies take turns
server = None
port = 0
state = {"handles": 0, "draining": False, "lose_answers": 0, "waiting": 0}


def say(what, **fields):
    line = {"at": round(time.time(), 4), "engine": options["id"], "what": what, **fields}
    with open(options["log"], "a", encoding="utf-8") as file:
        file.write(json.dumps(line) + "\n")


class Run:
    def __init__(self, request, first, last, writer):
        self.request, self.next, self.last, self.writer = request, first, last, writer
        self.stopped = False
        self.copied = 0
        self.connected = True


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


def head_of(status, headers):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reason[status]}"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(writer, status, headers=None, body=b""):
    headers = dict(headers or {})
    headers["Content-Length"] = str(len(body))
    headers["Connection"] = "close"
    writer.write(head_of(status, headers) + body)


def answer_json(writer, status, value):
    answer(writer, status, {"Content-Type": "application/json"}, json.dumps(value).encode())


def stamp_headers(request):
    out = {"Request-Id": request, "Instance-Id": options["id"], "Response-Stamp": f"stamp-{options['id']}",
           "Instance-Load": f"{len(runs)},0,24"}
    if state["draining"]:
        out["Server-Leaving"] = "1"
    return out


async def crash():
    global server
    say("crashes", running=len(runs))
    server.close()
    for it in list(runs.values()):
        it.stopped = True
        it.writer.transport.abort()
        it.connected = False
    runs.clear()
    copies.clear()
    await asyncio.sleep(options["down_ms"] / 1000)
    options["born"] = int(time.time() * 1000)
    server = await asyncio.start_server(serve, "127.0.0.1", port)
    say("is back", born=options["born"])


def send(run, data):
    if not run.connected:
        return
    run.writer.write(data if options.get("unframed") else b"%x\r\n%b\r\n" % (len(data), data))


async def stream(headers, reader, writer):
    request = headers["request-id"]
    first = 1
    if "kv-from" in headers:
        kept = copies.pop(headers["kv-from"].rpartition("/")[2], None)
        if kept is None or kept[0] != request:
            answer(writer, 503, {"Not-Executed": "1"})
            return
        first = int(headers.get("last-event-id", "0")) + 1
    last = int(headers["token-usage"].split(",")[1]) // 4
    run = runs[request] = Run(request, first, last, writer)
    say("run", request=request, tenant=headers.get("tenant", ""), from_event=first, resumed="kv-from" in headers)
    fields = stamp_headers(request)
    fields["Content-Type"] = "text/event-stream; charset=utf-8"
    fields["Connection" if options.get("unframed") else "Transfer-Encoding"] = \
        "close" if options.get("unframed") else "chunked"
    writer.write(head_of(200, fields))

    async def watch():
        try:
            while await reader.read(1024):
                pass
        except ConnectionError:
            pass
        run.connected = False

    watcher = asyncio.ensure_future(watch())
    while run.next <= run.last and not run.stopped:
        await asyncio.sleep(options["event_ms"] / 1000)
        if run.stopped:
            break
        if not run.connected and not options.get("keeps_running"):
            say("dropped", request=request, after_event=run.next - 1)
            runs.pop(request, None)
            return
        send(run, f"id: {run.next}\ndata: {request}:{run.next}\n\n".encode())
        run.next += 1
        if run.next % 10 == 0 and not run.connected:
            say("works on without a connection", request=request, event=run.next - 1)
    if run.stopped:
        say("stopped", request=request, after_event=run.next - 1)
        runs.pop(request, None)
        if run.connected:
            writer.transport.abort()
        return
    say("ended", request=request, events=run.last)
    runs.pop(request, None)
    if run.connected and not options.get("unframed"):
        writer.write(b"0\r\n\r\n")
    watcher.cancel()


async def plain(headers, writer):
    """An answer of 800 bytes."""
    request = headers["request-id"]
    say("run", request=request, tenant=headers.get("tenant", ""))
    body = f"{request}:".encode().ljust(800, b".")
    fields = stamp_headers(request)
    if options.get("unframed"):
        fields["Connection"] = "close"
    else:
        fields["Content-Length"] = str(len(body))
    await asyncio.sleep(options["work_ms"] / 1000)
    writer.write(head_of(200, fields) + body)
    say("ended", request=request, bytes=len(body))


async def move(body, writer):
    global link
    link = link or asyncio.Lock()
    order = json.loads(body)
    run = runs.get(order["id"])
    if run is None or run.stopped:
        answer_json(writer, 404, {})
        return
    final = bool(order.get("last"))
    if final:
        run.stopped = True
    state["waiting"] += 1
    async with link:
        state["waiting"] -= 1
        # What is new since the copy before is little.
        await asyncio.sleep((options["copy_ms"] if run.copied == 0 else 20) / 1000)
    state["handles"] += 1
    handle = f"{options['id']}-h{state['handles']}"
    host, _, port = order["to"].rpartition(":")
    try:
        peer, out = await asyncio.open_connection(host, int(port))
        data = json.dumps({"handle": handle, "id": order["id"], "events": run.next - 1}).encode()
        out.write(b"POST /standin/copy HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
        await read_message(peer)
        out.close()
    except OSError:
        answer_json(writer, 503, {"cache-handle": handle})
        return
    run.copied += 1
    say("copied", request=order["id"], to=order["to"], last=final, events=run.next - 1)
    answer_json(writer, 200, {"cache-handle": handle, "created": run.next - 1})
    if state["lose_answers"] > 0 and not final and state["waiting"] > 0:
        await writer.drain()
        await asyncio.sleep(0.03)
        if not run.stopped and run.next <= run.last:
            state["lose_answers"] -= 1
            lose_answer(run)


def lose_answer(run):
    if run.connected:
        say("loses its answer, and works on", request=run.request, after_event=run.next - 1)
        run.connected = False
        run.writer.transport.abort()


async def serve(reader, writer):
    try:
        start, headers, body = await read_message(reader)
        method, target, _ = start.split(" ")
        expected = headers.get("expect-instance", options["id"])
        if target == "/control":
            value = json.loads(body)
            state["draining"] = value.get("draining", state["draining"])
            state["lose_answers"] = value.get("lose_answers", state["lose_answers"])
            if value.get("crash"):
                state["crash"] = asyncio.ensure_future(crash())
            answer_json(writer, 200, {})
        elif target == "/report":
            answer_json(writer, 200, {"stage": "both", "born": options["born"], "queued": 0, "active": len(runs),
                                      "phase": "draining" if state["draining"] else "ready", "busy": False})
        elif target == "/healthz":
            answer(writer, 503 if state["draining"] else 200, {"Instance-Id": options["id"]})
        elif target == "/standin/copy":
            value = json.loads(body)
            copies[value["handle"]] = (value["id"], value["events"])
            answer_json(writer, 200, {})
        elif target == "/kv-move":
            await move(body, writer)
        elif target.startswith("/kv-handle/"):
            copies.pop(target.rpartition("/")[2], None)
            answer_json(writer, 200, {})
        elif expected != options["id"]:
            answer(writer, 421, {"Not-Executed": "1", "Instance-Id": options["id"]})
        elif "token-usage" in headers:
            await stream(headers, reader, writer)
        else:
            await plain(headers, writer)
        await writer.drain()
        writer.close()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def main():
    global server, port
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    print(f"listening 127.0.0.1:{port}", flush=True)
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(0.5)


asyncio.run(main())
