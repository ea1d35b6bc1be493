"""An engine crashes and starts again under its id; its entry in the store says so a second later. Its answers have
neither a length nor chunks."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import stand  # noqa: E402

HOSTS = 2
ENGINES = 6
CLIENTS = 50  # of each host, on kept connections
EVENTS = 24
EVENT_MS = 50
DOWN_MS = 2000
CRASHES = 4  # one engine of six (0.167) at a time; srv_crash has share = 0.17 and for_s = 4.5 on the sheet
HEARTBEAT_S = 1.0  # "approximately every heartbeat-ms", which is 1,200
ACCEPTED = 3  # RULES.md, LOST: "more than three times"


async def case(s):
    await s.start()
    for i in range(ENGINES):
        await s.start_engine(f"i-{i}", unframed=True, event_ms=EVENT_MS, down_ms=DOWN_MS)
    for i in range(1, HOSTS + 1):
        s.start_node(i)
    for i in range(1, HOSTS + 1):
        await s.wait_ready(i)
    await asyncio.sleep(1)
    over = False
    ends = []  # (request, host, on a kept connection, events, whole)

    async def client(number, which):
        """One connection, kept for many requests; a new one after it was closed."""
        count = 0
        while not over:
            reader, writer = await asyncio.open_connection(f"127.0.0.{number}", s.ports["frontend"])
            used = False
            while not over:
                count += 1
                request = f"sheet-{number}-{which}-{count}"
                writer.write(f"POST /sheet/week HTTP/1.1\r\nHost: {stand.HOST_NAME}\r\nRequest-Id: {request}\r\n"
                             f"Authorization: Token {stand.KEY}\r\nDeadline-Ms: 20000\r\nModel: m\r\n"
                             f"Token-Usage: 1200,{4 * EVENTS}\r\nPrefix-Hash: 5c1e07a2:79,{number:02x}{which:02x}"
                             f"{count:04x}:1121\r\nContent-Length: {len(request)}\r\n\r\n{request}".encode())
                try:
                    start, fields = await stand.read_head(reader)
                    data, whole = await stand.read_body(reader, fields)
                except (asyncio.IncompleteReadError, ConnectionError):
                    start, data, whole = "closed", b"", False
                numbers = [int(it[4:]) for it in data.decode().split("\n") if it.startswith("id: ")]
                ends.append((request, number, used, numbers, whole))
                s.record.say(f"client got {request} on a {'kept' if used else 'new'} connection of edge-{number}: "
                             f"{start}, {len(numbers)} events, {'complete' if whole else 'connection closed'}")
                used = True
                if not whole:
                    break
                await asyncio.sleep(0.3)
            writer.close()

    jobs = [asyncio.ensure_future(client(i, k)) for i in range(1, HOSTS + 1) for k in range(CLIENTS)]
    await asyncio.sleep(4)
    for number in range(CRASHES):
        name = f"i-{number}"
        if stand.TROUBLE:
            await s.control(name, {"crash": True})
            await asyncio.sleep(DOWN_MS / 1000)
            back = []
            while not back:
                await asyncio.sleep(0.02)
                back = [it["born"] for it in s.engine_lines() if it["what"] == "is back" and it["engine"] == name]
            s.engines[name]["born"] = back[0]
            await asyncio.sleep(HEARTBEAT_S)
            await s.list_engine(name, "ready")
        else:
            await asyncio.sleep(DOWN_MS / 1000 + HEARTBEAT_S)
        await asyncio.sleep(4)
    over = True
    await asyncio.gather(*jobs)
    # What its engine has run to its end, after it came back, was passed on to a sound engine.
    ended = {it["request"] for it in s.engine_lines() if it["what"] == "ended"}
    cut = {i: [it for it in ends if it[1] == i and it[2] and not it[4] and it[0] in ended] for i in range(1, HOSTS + 1)}
    out = []
    for host, requests in cut.items():
        if len(requests) > ACCEPTED:
            out.append(f"LOST: edge-{host} closed {len(requests)} kept connections without the end of an answer that its "
                       f"sound engine had given in full, first {requests[0][0]} with {len(requests[0][3])} of {EVENTS} events")
    return out


stand.run(__file__, case, HOSTS)
