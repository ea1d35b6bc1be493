"""Generations of an engine that leaves are moved; some of its answers are lost while it still works on them."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib3"))
import stand  # noqa: E402

HOSTS = 7
ENGINES = 12
STREAMS = 156
EVENTS = 160
ROUNDS = 6  # one engine leaves in each, until the rule breaks
LOST_SHARE = 0.4  # srv_grey, how = "reset": x = 0.45 of the requests of share = 0.14 of the engines; here of one in 12
STILL_WORKS_S = 0.4  # RULES.md, TWICE


def twice(lines, asked):
    out = []
    for request in asked:
        own = [it for it in lines if it.get("request") == request]
        for start in own:
            if start["what"] != "run" or not start["resumed"]:
                continue
            later = [it for it in own if it["engine"] != start["engine"] and it["what"] in ("works on without a connection", "ended") and
                     it["at"] > start["at"] + STILL_WORKS_S]
            if later:
                out.append(f"TWICE: {request} went on at {start['engine']} after event {start['from_event'] - 1}, and "
                           f"{later[0]['engine']} still worked on it {later[-1]['at'] - start['at']:.2f} s later")
    return out


async def case(s):
    await s.start()
    for i in range(ENGINES):
        await s.start_engine(f"i-{i}", event_ms=50, copy_ms=200, keeps_running=True)
    for i in range(1, HOSTS + 1):
        s.start_node(i)
    for i in range(1, HOSTS + 1):
        await s.wait_ready(i)
    await asyncio.sleep(1)
    for number in range(ROUNDS):
        leaving = f"i-{number}"
        asked = [f"sheet-{number}-{i}" for i in range(STREAMS)]
        jobs = [asyncio.ensure_future(s.generate(1 + i % HOSTS, it, EVENTS)) for i, it in enumerate(asked)]
        await asyncio.sleep(1.5)
        runs = sum(it["engine"] == leaving and it["what"] == "run" and it["request"] in asked
                   for it in s.engine_lines())
        s.record.say(f"{leaving} runs {runs} requests")
        if stand.TROUBLE:
            await s.control(leaving, {"lose_answers": int(runs * LOST_SHARE)})
        await s.drain(leaving)
        await asyncio.gather(*jobs)
        broken = twice(s.engine_lines(), asked)
        if broken:
            return broken
        await s.store.remove("servers", leaving)
        s.processes[leaving].kill()
        s.record.say(f"{leaving} has left")
        await s.start_engine(f"i-{ENGINES + number}", event_ms=50, copy_ms=200, keeps_running=True)
        await asyncio.sleep(1)
    return []


stand.run(__file__, case, HOSTS)
