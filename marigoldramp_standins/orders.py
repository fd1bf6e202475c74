"""Orders that the engine stand-in takes: models, adapters and its role."""

import enum
import time
from typing import Callable

import msgspec


class OrderKind(enum.StrEnum):
    """What an order asks for."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD = 'unload'
    CHANGE_ROLE = 'change_role'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /orders``.

    :ivar name: of the model, the adapter or the role.
    :ivar fence: fencing number of whoever gives the order.
    """

    kind: OrderKind
    name: str
    fence: int
    version: str = ''


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an order.

    :ivar fence: highest fencing number that the engine has seen.
    """

    accepted: bool
    fence: int


class OrderBook:
    """State that orders change.

    :param checks_fence: refuse an order with an old fencing number; some
        engines ignore the number and do whatever comes.
    :param load_seconds: until a model or adapter is ready.
    :ivar taken: every order that was carried out, in its sequence.
    """

    __slots__ = (
        'role',
        'fence',
        'taken',
        '_checks',
        '_ready',
        '_load',
        '_clock',
    )

    def __init__(
        self,
        *,
        models: tuple[str, ...] = (),
        checks_fence: bool = True,
        load_seconds: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.role = 'mixed'
        self.fence = 0
        self.taken: list[Order] = []
        self._checks = checks_fence
        self._ready = dict.fromkeys(models, clock())
        self._load = load_seconds
        self._clock = clock

    def take(self, *, order: Order) -> OrderReply:
        """Carry out an order, or refuse it for its fencing number."""
        if self._checks and order.fence < self.fence:
            return OrderReply(accepted=False, fence=self.fence)
        self.fence = max(self.fence, order.fence)
        self.taken.append(order)
        match order.kind:
            case OrderKind.LOAD_MODEL | OrderKind.LOAD_ADAPTER:
                ready_at = self._clock() + self._load
                self._ready.setdefault(order.name, ready_at)
            case OrderKind.UNLOAD:
                self._ready.pop(order.name, None)
            case OrderKind.CHANGE_ROLE:
                self.role = order.name
        return OrderReply(accepted=True, fence=self.fence)

    def list_models(self) -> tuple[str, ...]:
        """Return the models and adapters that are ready."""
        now = self._clock()
        return tuple(
            sorted(name for name, ready in self._ready.items() if ready <= now)
        )
