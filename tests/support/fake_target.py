"""A target under a test's control, answer by answer, for process tests."""

import http.server
import json
import threading

from support.processes import call

ACCEPT_POLL_SECONDS = 0.02


class FakeTarget:
    """Announces itself to a node; `behave(handler)` answers each request.

    `seen` holds (method, path, headers) of all requests, cancels included.
    """

    def __init__(self, node, workspace, service, behave, slots=12):
        outer = self
        self.seen = []
        self._stop = threading.Event()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                outer.seen.append((self.command, self.path,
                                   dict(self.headers)))
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.path.startswith("/v1/"):
                    send(self, b"", status=204)
                else:
                    behave(self)

            do_GET = do_POST = do_DELETE = do_PUT = answer

            def log_message(self, *_):
                pass

        self._handler = Handler
        self._server = self._listen(0)
        self._announcement = json.dumps({
            "workspace": workspace, "service": service, "slots": slots,
            "connections": 50, "checks_grants": False, "state": "serving",
            "address": "127.0.0.1:%d" % self._server.server_address[1]})
        self._control = node.control
        self._announcer = threading.Thread(target=self._announce)
        self._announcer.start()

    def _listen(self, port):
        server = http.server.ThreadingHTTPServer(("127.0.0.1", port),
                                                 self._handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever,
                         args=(ACCEPT_POLL_SECONDS,)).start()
        return server

    def _end_listener(self):
        self._server.shutdown()
        self._server.server_close()

    def crash(self, handler):
        """Refuses connections from now on, and breaks that of `handler`."""
        self._end_listener()
        hang_up(handler)

    def restart(self):
        """Listens again at the same address after a crash, and announces that."""
        self._server = self._listen(self._server.server_address[1])
        self._announce_once()

    def _announce(self):
        while not self._stop.is_set():
            try:
                self._announce_once()
            except OSError:
                pass
            self._stop.wait(0.2)

    def _announce_once(self):
        call(self._control, "POST", "/v1/targets", self._announcement)

    def close(self):
        self._stop.set()
        self._end_listener()
        self._announcer.join()

    def cancels(self):
        return [path for method, path, _ in self.seen
                if method == "DELETE" and path.startswith("/v1/requests/")]


def send(handler, body, status=200, request_id=None, length=None, extra=()):
    """Answers; `request_id` and `length` are the right ones unless given."""
    handler.send_response(status)
    handler.send_header("Citrongrade-Request-Id", request_id or
                        handler.headers.get("Citrongrade-Request-Id", ""))
    for name, value in extra:
        handler.send_header(name, value)
    handler.send_header("Content-Length",
                        str(len(body) if length is None else length))
    try:
        handler.end_headers()
        handler.wfile.write(body)
    except OSError:
        # The node has given the request up and closed.
        handler.close_connection = True


def hang_up(handler):
    """Closes the connection without another byte."""
    handler.close_connection = True
    handler.connection.close()
