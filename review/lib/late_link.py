"""A TCP proxy that delays what passes towards its target, bytes and closing alike,
by a number of seconds that can be changed while it runs.

Usage: late_link.py LISTEN_IP:PORT TARGET_IP:PORT FILE_WITH_SECONDS"""

import asyncio
import sys


def delay(path):
    try:
        with open(path) as file:
            return float(file.read() or 0)
    except OSError:
        return 0.0


async def main():
    listen, target, path = sys.argv[1:]

    async def pass_on(reader, writer):
        loop = asyncio.get_running_loop()
        upstream = None
        pieces = asyncio.Queue()

        async def read_all():
            while True:
                data = await reader.read(65536)
                await pieces.put((loop.time() + delay(path), data))
                if not data:
                    return

        task = loop.create_task(read_all())
        back = None
        try:
            while True:
                due, data = await pieces.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                if not data:
                    break
                if upstream is None:
                    ip, port = target.split(":")
                    from_target, upstream = await asyncio.open_connection(ip, int(port))

                    async def answers():
                        while True:
                            data = await from_target.read(65536)
                            if not data:
                                return
                            writer.write(data)

                    back = loop.create_task(answers())
                upstream.write(data)
        except OSError:
            pass
        finally:
            task.cancel()
            if back:
                back.cancel()
            if upstream:
                upstream.close()
            writer.close()

    ip, port = listen.split(":")
    server = await asyncio.start_server(pass_on, ip, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
