"""The instance list of the platform stand-in, which shows changes late."""

import dataclasses
import time
from typing import Callable

from marigoldramp import store


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Pending:
    """A change of the instance list that is not visible yet."""

    visible_at: float
    name: str
    instance: store.Instance | None


class InstanceList:
    """Live and leaving instances as the platform shows them.

    :ivar lag: seconds by ``clock`` until a change becomes visible.
    """

    __slots__ = ('lag', '_clock', '_visible', '_pending')

    def __init__(
        self,
        *,
        lag: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lag = lag
        self._clock = clock
        self._visible: dict[str, store.Instance] = {}
        self._pending: list[_Pending] = []

    def put(self, *, instance: store.Instance) -> None:
        """Add or replace an instance."""
        self._add(instance.name, instance)

    def remove(self, *, name: str) -> None:
        """Take an instance off the list."""
        self._add(name, None)

    def publish(self) -> None:
        """Make every change visible at once."""
        for pending in self._pending:
            self._show(pending)
        self._pending.clear()

    def list_instances(self) -> store.Instances:
        """Return what is visible now."""
        now = self._clock()
        while self._pending and self._pending[0].visible_at <= now:
            self._show(self._pending.pop(0))
        return store.Instances(
            instances=tuple(
                self._visible[name] for name in sorted(self._visible)
            )
        )

    def _add(self, name: str, instance: store.Instance | None) -> None:
        self._pending.append(
            _Pending(
                visible_at=self._clock() + self.lag,
                name=name,
                instance=instance,
            )
        )

    def _show(self, pending: _Pending) -> None:
        if pending.instance is None:
            self._visible.pop(pending.name, None)
        else:
            self._visible[pending.name] = pending.instance
