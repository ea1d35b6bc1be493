"""The network before one engine: passes connections on, and goes dark when told to.

Arguments: the engine's address. Prints "listening IP:PORT". A line on standard input makes it dark: open connections end as
the engine's side ended, and new ones get no answer at all, as from a machine without power (DEPLOY.md: "connections to it
hang").
"""
import asyncio
import os
import socket
import sys

host, _, port = sys.argv[1].rpartition(":")
dark = False
carried = set()  # the loop itself doesn't keep tasks
kept = []  # connections that fill the queue of the port, as nobody accepts them


async def pump(reader, writer):
    try:
        while True:
            data = await reader.read(65536)
            if not data:
                break
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except ConnectionError:
        writer.transport.abort()


async def carry(connection):
    reader, writer = await asyncio.open_connection(sock=connection)
    try:
        there, out = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.transport.abort()
        return
    await asyncio.gather(pump(reader, out), pump(there, writer))
    out.close()
    writer.close()


async def main():
    global dark
    loop = asyncio.get_running_loop()
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)
    listener.setblocking(False)
    print("listening 127.0.0.1:%d" % listener.getsockname()[1], flush=True)

    async def accept():
        while not dark:
            connection, _ = await loop.sock_accept(listener)
            connection.setblocking(False)
            task = asyncio.ensure_future(carry(connection))
            carried.add(task)
            task.add_done_callback(carried.discard)

    accepting = asyncio.ensure_future(accept())
    await loop.run_in_executor(None, sys.stdin.readline)
    dark = True
    accepting.cancel()
    for _ in range(40):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        kept.append(filler)
    print("dark", flush=True)
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(0.5)


asyncio.run(main())
