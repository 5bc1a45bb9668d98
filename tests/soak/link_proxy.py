"""A loopback proxy for one link: bytes pass until a fault is set. All links of a
run share one event loop in a thread of its own."""

import asyncio
import socket
import struct
import threading

CHUNK = 65536
# How often the thread looks whether it was held up.
STALL_LOOK = 0.05


class ProxyLoop:
    """The thread on which links run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        # Of connections that end by a fault: pump() has seen to them already.
        self.loop.set_exception_handler(lambda *_: None)
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.servers = []
        self.longest_stall = 0.0
        asyncio.run_coroutine_threadsafe(self._watch(), self.loop)

    async def _watch(self):
        while True:
            began = self.loop.time()
            await asyncio.sleep(STALL_LOOK)
            stall = self.loop.time() - began - STALL_LOOK
            self.longest_stall = max(self.longest_stall, stall)

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(5)

    def close(self):
        self.run(self._close_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def _close_all(self):
        for server in self.servers:
            server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Link:
    """Passes connections from `listen` on to `target`. Faults:

    delay     each chunk waits so many seconds
    cut_in    bytes to the target are held until the fault ends, then go on
    cut_out   the same for bytes from it
    silence() connections of now pass nothing ever again; new ones work
    reset()   connections of now are reset
    refuse()  new connections are refused until listen_again(); those of now work
    """

    def __init__(self, proxies, listen, target):
        self.listen = listen
        self.target = target
        self.delay = 0
        self.cut_in = False
        self.cut_out = False
        self.connections = set()
        self.proxies = proxies
        self.server = None
        proxies.run(self._serve())

    def heal(self):
        self.delay = 0
        self.cut_in = False
        self.cut_out = False

    def silence(self):
        for connection in list(self.connections):
            connection.is_silent = True

    def reset(self):
        self.proxies.loop.call_soon_threadsafe(self._reset)

    def _reset(self):
        for connection in list(self.connections):
            connection.abort()

    def refuse(self):
        self.proxies.loop.call_soon_threadsafe(self._close)

    def listen_again(self):
        self.proxies.run(self._serve())

    def _close(self):
        if self.server is not None:
            self.server.close()
            self.proxies.servers.remove(self.server)
            self.server = None

    async def _serve(self):
        if self.server is None:
            ip, port = self.listen
            self.server = await asyncio.start_server(self._accept, ip, port)
            self.proxies.servers.append(self.server)

    async def _accept(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            # A port with no listener resets the connection.
            abort(writer)
            return
        connection = _Connection(self, writer, target_writer)
        self.connections.add(connection)
        inbound = connection.pump(reader, target_writer, lambda: self.cut_in)
        outbound = connection.pump(target_reader, writer, lambda: self.cut_out)
        await asyncio.gather(inbound, outbound)
        self.connections.discard(connection)


class _Connection:
    def __init__(self, link, near, far):
        self.link = link
        self.near = near
        self.far = far
        self.is_silent = False
        self.is_over = False

    def abort(self):
        self.is_over = True
        abort(self.near)
        abort(self.far)

    async def pump(self, reader, writer, is_cut):
        try:
            while True:
                chunk = await reader.read(CHUNK)
                if self.link.delay:
                    await asyncio.sleep(self.link.delay)
                while (is_cut() or self.is_silent) and not self.is_over:
                    await asyncio.sleep(0.02)
                if not chunk:
                    break
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            self.abort()


def abort(writer):
    """Ends the connection by a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            # Closed already: nothing is left to reset.
            pass
    writer.transport.abort()
