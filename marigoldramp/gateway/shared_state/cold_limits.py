"""The limit on requests to one endpoint while it is cold.

:mod:`.cold_starts` decides which endpoints are cold.
"""

from .. import deployment
from . import bounds

#: After the end the rate is raised by this factor in each step, so that the
#: endpoint does not get the whole load at once.
RECOVERY_FACTOR = 2.0
RECOVERY_STEP_SECONDS = 0.3
RECOVERY_STEPS = 3


class ColdLimit:
    """The cold state of one endpoint process, as this gateway knows it.

    :ivar record: the record by which the state was last decided; ``None`` if
        the endpoint has not been seen.
    :ivar is_cold: whether it counts as cold.
    :ivar since: when this gateway last saw a reason to count it as cold.
    :ivar until: when it will cease to be cold, or did.
    :ivar bound: bound on the requests of all gateways; ``None`` if cold starts
        are not limited.
    """

    __slots__ = ('record', 'is_cold', 'since', 'until', 'bound')

    def __init__(self) -> None:
        self.record: deployment.EndpointRecord | None = None
        self.is_cold = False
        self.since = float('-inf')
        self.until = float('-inf')
        self.bound: bounds.Bound | None = None

    def begin(self, *, until: float, since: float) -> None:
        """Begin a cold state, or change when it began and will end."""
        self.is_cold = True
        self.since = since
        self.until = until

    def end(self, *, now: float) -> None:
        """End the cold state; the load returns in steps."""
        self.is_cold = False
        self.until = min(self.until, now)

    def find_bound(self, *, now: float) -> bounds.Bound | None:
        """Return the bound in force, ``None`` if there is none."""
        if self.bound is None or self.is_cold:
            return self.bound
        step = (now - self.until) // RECOVERY_STEP_SECONDS
        if step >= RECOVERY_STEPS:
            return None
        rate = self.bound.rate * RECOVERY_FACTOR ** (step + 1.0)
        return bounds.make_cold(
            rate, factor=self.bound.factor, extra=self.bound.extra
        )
