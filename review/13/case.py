"""Another program keeps records of its own among the entries of the engines, and writes several of them at once."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import stand  # noqa: E402

HOSTS = 3  # one in each zone
MEMORY_MB = 110
BURSTS = 6
ENTRIES = 8
ENTRY_BYTES = 1_040_000  # value-bytes is 1,048,576
WRITE_S = ENTRY_BYTES * 8 / 1e9  # over the store's link of 1,000 Mbit/s; 400 writing calls a second are allowed
CLIENTS = 5  # of each host, on kept connections
RESTART_S = 0.5
ACCEPTED_ENDS = 2  # RULES.md: "three times"
MACHINES = 2  # RULES.md: "a tenth of the machines in use (two at least)"


def records(number):
    one = f'{{"id":{number},"up":1}}'
    count = (ENTRY_BYTES - 60) // (len(one) + 1)
    return f'{{"service":"inventory","entries":[{",".join([one] * count)}]}}'


def memory_mb(pid):
    """The most memory that the process has had."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def case(s):
    await s.start()
    for i in range(3):
        await s.start_engine(f"app-{i}", "roster-app")
    ends = {i: [] for i in range(1, HOSTS + 1)}
    cut = {i: 0 for i in range(1, HOSTS + 1)}
    answered = {i: 0 for i in range(1, HOSTS + 1)}
    most = {i: 0.0 for i in range(1, HOSTS + 1)}
    over = False

    async def platform(number):
        """Kills the process when it exceeds its memory, and starts it again after a short delay (DEPLOY.md)."""
        name = f"edge-{number}"
        while not over:
            process = s.processes[name]
            if process.poll() is None:
                held = memory_mb(process.pid)
                most[number] = max(most[number], held)
                if held > MEMORY_MB:
                    ends[number].append(held)
                    s.record.say(f"{name} has {held:.0f} MB, over its memory-mb of {MEMORY_MB}")
                    s.kill(name, signal.SIGKILL)
                    process.wait()
                    await asyncio.sleep(RESTART_S)
                    s.start_node(number)
            await asyncio.sleep(0.02)

    async def client(number, which):
        """One connection, kept for many requests; a new one after it was closed."""
        count = 0
        while not over:
            try:
                reader, writer = await asyncio.open_connection(f"127.0.0.{number}", s.ports["frontend"])
                while not over:
                    count += 1
                    request = f"fixture-{number}-{which}-{count}"
                    writer.write(f"POST /fixture/1 HTTP/1.1\r\nHost: {stand.HOST_NAME}\r\nRequest-Id: {request}\r\n"
                                 f"Authorization: Token {stand.KEY}\r\nDeadline-Ms: 1500\r\n"
                                 "Content-Length: 1\r\n\r\nx".encode())
                    kept = count > 1
                    start, fields = await stand.read_head(reader)
                    await stand.read_body(reader, fields)
                    answered[number] += " 200 " in start
                    await asyncio.sleep(0.05)
            except (OSError, asyncio.IncompleteReadError):
                if kept and any(it["what"] == "run" and it["request"] == request for it in s.engine_lines()):
                    cut[number] += 1
                    s.record.say(f"edge-{number} closed the connection of {request}, which an engine ran, without an "
                                 "answer")
                kept = False
                await asyncio.sleep(0.2)

    for i in range(1, HOSTS + 1):
        s.start_node(i)
    for i in range(1, HOSTS + 1):
        await s.wait_ready(i)
    jobs = [asyncio.ensure_future(platform(i)) for i in range(1, HOSTS + 1)]
    jobs += [asyncio.ensure_future(client(i, k)) for i in range(1, HOSTS + 1) for k in range(CLIENTS)]
    await asyncio.sleep(4)
    for burst in range(BURSTS):
        value = records(burst + 1)
        for i in range(ENTRIES):
            await s.store.put("servers", f"inventory-{i}", value)
            s.record.say(f"another program wrote servers/inventory-{i}, {len(value)} bytes")
            await asyncio.sleep(WRITE_S if stand.TROUBLE else 0.5)
        await asyncio.sleep(5)
    over = True
    await asyncio.gather(*jobs)
    for i in range(1, HOSTS + 1):
        s.record.say(f"edge-{i}: at most {most[i]:.0f} MB, ended {len(ends[i])} times for its memory, {answered[i]} "
                     f"answers, {cut[i]} requests of kept connections cut")
    ended = [i for i in ends if len(ends[i]) > ACCEPTED_ENDS]
    if len(ended) >= MACHINES:
        return [f"Fault: edge-{i} ended {len(ends[i])} times for its memory, with "
                f"{' and '.join(f'{it:.0f}' for it in ends[i])} MB; {cut[i]} requests on kept connections were cut"
                for i in ended]
    return []


stand.run(__file__, case, HOSTS)
