import asyncio
import os
import signal
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet  # noqa: E402

EVENTS = 80  # of 270 bytes, 35 ms apart: 2.8 s, 7.7 KB a second
BYTES_PER_READ, READS_PER_S = 256, 20  # 5 KB a second
STREAMS = 4


async def slow_client(deployment, node, request):
    """Sends one request and reads its answer at a steady 5 KB a second. Returns what arrived and how it ended."""
    loop = asyncio.get_running_loop()
    it = socket.socket()
    it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    it.setblocking(False)
    ip, port = node.frontend.split(":")
    await loop.sock_connect(it, (ip, int(port)))
    body = b"p" * 3000
    await loop.sock_sendall(it, fleet.request_head("POST", "/sheet/2f", request, len(body), 39000, 400) + body)
    deployment.record(f"client: sends {request} to {node.name}")
    got, end = b"", "complete"
    while not got.endswith(b"\r\n0\r\n\r\n"):
        await asyncio.sleep(1 / READS_PER_S)
        try:
            data = await asyncio.wait_for(loop.sock_recv(it, BYTES_PER_READ), 15)
        except ConnectionError as problem:
            end = f"connection reset ({problem.strerror})"
            break
        except asyncio.TimeoutError:
            end = "nothing for 15 s"
            break
        if not data:
            end = "connection closed early"
            break
        got += data
    it.close()
    status = got.split(b"\r\n", 1)[0].decode()
    deployment.record(f"client: {request}: {status!r}, {got.count(b'data: ')} of {EVENTS} events, {len(got)} bytes, {end}")
    return status, end


async def scenario(deployment):
    await deployment.start(nodes=2, engines=2, app=1, events=EVENTS, gap=0.035, first=0.6)
    node = deployment.nodes[0]
    requests = [f"slow-{i}" for i in range(STREAMS)]
    clients = [asyncio.create_task(slow_client(deployment, node, it)) for it in requests]
    while any(deployment.runs(it) == 0 for it in requests):  # each is at its engine, which has yet to begin its answer
        await asyncio.sleep(0.02)
    began = fleet.now()
    if deployment.trouble:
        node.send_signal(signal.SIGTERM)
        deployment.record(f"platform: SIGTERM to {node.name}; SIGKILL would follow after grace-s = 8 s")
    answers = await asyncio.gather(*clients)
    deployment.record(f"all answers have ended {fleet.now() - began:.1f} s later; "
                      f"{node.name} {'runs' if node.process.poll() is None else 'has ended'}")
    if any(deployment.runs(it) != 1 for it in requests) or any(" 200 " not in it[0] + " " for it in answers):
        raise RuntimeError("not every request was passed on to an engine")
    return any(it[1] != "complete" for it in answers)


fleet.main(os.path.dirname(os.path.abspath(__file__)), scenario)
