"""The configuration bundle: what operators decide, as typed values.

A bundle is one numbered document.  Its number only ever grows; a roll-back
is a newer bundle with older contents.  This module holds the data classes;
``documents`` reads them from YAML with places, ``manifests`` cuts them into
content-addressed parts, and ``configuration`` distributes them.
"""

import dataclasses
import enum
from typing import Annotated
from typing import Any
from typing import ClassVar

from . import bounds
from . import documents


class Priority(enum.IntEnum):
    """Order in which queued calls are served; a lower value goes first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class _Name:
    """Tells pydantic that a priority stands under its name in a file."""

    def __get_pydantic_core_schema__(self, source: Any, handler: Any) -> Any:
        from pydantic_core import core_schema

        return core_schema.no_info_before_validator_function(
            _read_priority, handler(source)
        )


def _read_priority(value: Any) -> Any:
    names = {priority.name.lower(): priority for priority in Priority}
    if isinstance(value, str) and value in names:
        return names[value]
    if type(value) is int and value in list(Priority):
        return value
    raise ValueError('must be one of ' + ', '.join(names))


#: In a bundle file a priority stands under its name, such as ``urgent``.
NamedPriority = Annotated[Priority, _Name()]


class MapMode(enum.StrEnum):
    """What weighs more when experts are moved between ranks."""

    SKEW = 'skew'
    DISRUPTION = 'disruption'


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Customer:
    """A customer, its keys by digest, and its limits.

    :ivar key_digests: hexadecimal SHA-256 digests of its caller keys; the
        keys themselves never stand in a bundle.
    :ivar services: names of the services that it may call.
    :ivar requests_per_second: sustained rate over all entries.
    :ivar concurrent_calls: calls in flight over all entries.
    :ivar tokens_per_second: generated tokens over all entries.
    :ivar weight: share relative to other customers under contention.
    :ivar entries: how many entry instances serve this customer.
    """

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    name: str
    key_digests: tuple[str, ...]
    services: tuple[str, ...]
    requests_per_second: bounds.PositiveFloat = 100.0
    concurrent_calls: bounds.PositiveInt = 200
    tokens_per_second: bounds.PositiveFloat = 50_000.0
    weight: bounds.PositiveFloat = 1.0
    entries: bounds.PositiveInt = 2


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Service:
    """A service that endpoints run.

    :ivar kind: name of the endpoint-kind plug-in (``model_engine``,
        ``plain_service``).
    :ivar model: model name that callers ask for; empty for plain services.
    :ivar routing: name of the routing-policy plug-in.
    :ivar retry_share: retries allowed per first attempt, as a fraction.
    :ivar hedge_after_seconds: start a second attempt of an idempotent call
        after this long without an answer; 0 switches hedging off.
    """

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    name: str
    kind: str
    model: str = ''
    routing: str = 'two_choices'
    retry_share: bounds.Share = 0.1
    hedge_after_seconds: bounds.NonNegativeFloat = 0.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Route:
    """Maps a method and path, and a model where one is named, to a service.

    :ivar path: exact path, or a prefix when it ends in ``/*``.
    :ivar model: only requests whose JSON body names this model match.
    :ivar idempotent: ``False`` means that the call may run at most once.
    """

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    method: str
    path: str
    service: str
    model: str = ''
    idempotent: bool = True
    default_deadline_seconds: bounds.PositiveFloat = 10.0
    longest_deadline_seconds: bounds.PositiveFloat = 60.0
    priority: NamedPriority = Priority.NORMAL


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Group:
    """An expert-parallel group of ranks and how its experts are moved.

    :ivar service: the service whose endpoints carry the ranks.
    :ivar slots: expert replicas that one rank holds in a layer.
    :ivar rebalancing: name of the rebalancing-policy plug-in.
    :ivar mode: what weighs more, skew or disruption.
    :ivar skew_threshold: largest rank load over the mean above which a
        layer is rebalanced.
    :ivar moves_per_interval: most expert moves begun in one interval.
    :ivar interval_seconds: time between two plans.
    :ivar expert_bytes: size of one expert's weights.
    :ivar weight_bytes_per_second: share of the weight store's rate that
        moves of this group may use.
    """

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    name: str
    service: str
    ranks: bounds.PositiveInt
    experts: bounds.PositiveInt
    layers: bounds.PositiveInt
    slots: bounds.PositiveInt
    rebalancing: str = 'incremental'
    mode: MapMode = MapMode.SKEW
    skew_threshold: bounds.Skew = 1.2
    moves_per_interval: bounds.PositiveInt = 6
    interval_seconds: bounds.PositiveFloat = 30.0
    expert_bytes: bounds.PositiveInt = 50_000_000
    weight_bytes_per_second: bounds.PositiveFloat = 500_000_000.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Bundle:
    """A whole configuration under one number.

    :ivar number: strictly increasing; decides which bundle is newer.
    :ivar note: why it was changed, for the audit trail.
    """

    __pydantic_config__: ClassVar[documents.Config] = documents.STRICT

    number: bounds.PositiveInt
    note: str = ''
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    groups: tuple[Group, ...] = ()
    customers: tuple[Customer, ...] = ()
