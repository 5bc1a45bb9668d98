"""Calls of the platform's log stand-in, as docs/PROTOCOLS.md has them."""

from support.processes import call


class LogClient:
    """One stream of a log stand-in."""

    def __init__(self, address, stream="test"):
        self.address = address
        self._path = "/v1/streams/" + stream

    def append(self, record):
        return call(self.address, "POST", self._path + "/records", record)

    def read(self, first, most=1000, wait_ms=0):
        return call(self.address, "GET", "%s/records?from=%d&max=%d&wait_ms=%d"
                    % (self._path, first, most, wait_ms))

    def bounds(self):
        return call(self.address, "GET", self._path)

    def set_faults(self, **faults):
        answer = call(self.address, "POST", "/v1/faults", faults)
        assert answer.status == 200, answer.body
        return answer.json()
