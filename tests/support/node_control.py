"""What a node's control address tells of it."""

from support.processes import call


class NodeControl:
    """A node as operators see it. Subclasses set `control`, its address."""

    control = None

    def dump(self):
        return call(self.control, "GET", "/v1/dump").json()

    def is_ready(self):
        try:
            return call(self.control, "GET", "/v1/ready").status == 200
        except OSError:
            return False

    def services(self):
        """The services whose slots it knows; none before it is a member."""
        coordinator = self.dump()["coordinator"]
        return coordinator["services"] if coordinator else []
