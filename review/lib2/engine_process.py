"""An engine in a process of its own, which a case can kill. Its streams have neither a length nor chunks.

Arguments: name, events, seconds between them. Writes its id and address to standard output, then what it runs.
"""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet  # noqa: E402


class UnframedEngine(fleet.Engine):
    async def answer(self, start, headers, body, writer):
        if "token-usage" not in headers or headers.get("expect-instance", self.id) != self.id:
            return await super().answer(start, headers, body, writer)
        request = headers["request-id"]
        self.record(f"runs {request}")
        await asyncio.sleep(0.1)
        writer.write(fleet.message("HTTP/1.1 200 OK", [("Request-Id", request), ("Response-Stamp", f"{self.name}.{request}"),
                                                       ("Content-Type", "text/event-stream"),
                                                       ("Connection", "close")]))
        for number in range(1, self.events + 1):
            writer.write(self.event(request, number))
            await writer.drain()
            self.record(f"has sent event {number} of {self.events} of {request}")
            await asyncio.sleep(self.gap)
        self.record(f"has answered {request} in full")
        raise ConnectionResetError  # closes the connection


async def main():
    engine = UnframedEngine(sys.argv[1], lambda text: print(text, flush=True), events=int(sys.argv[2]),
                            gap=float(sys.argv[3]))
    await engine.start()
    print(json.dumps({"id": engine.id, "entry": engine.entry("engines", "dk-east-a")}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
