"""The whole path as real processes, sized for measurements.

One entry, a model engine and a ledger service with an agent beside each, on
the demonstration's stand-ins.  Limits are set so high that none refuses.
"""

import contextlib
import hashlib
import pathlib
import secrets
import tempfile
from typing import AsyncIterator

import yaml

from marigoldramp import bundle
from marigoldramp_standins import demo_fleet
from marigoldramp_standins import demo_layout

ENTRY = 'entry-1'
ENGINE_AGENT = 'agent-engine'
LEDGER_AGENT = 'agent-ledger'
#: Calls at once that the engine, its agent and the entry take.
SLOTS = 1024
FREE_RATE = 1e9


class MeasuredFleet(demo_fleet.Fleet):
    """The demonstration's processes, without limits that would refuse.

    :param customers: customers in the bundle, all with keys of their own.
    :param step: seconds of one step of the engine; each stream gets one
        token a step.
    """

    def __init__(
        self, *, folder: pathlib.Path, customers: int, step: float
    ) -> None:
        super().__init__(folder=folder, say=_ignore)
        self.callers = tuple(
            demo_layout.Caller(
                name=f'customer-{index}',
                key=secrets.token_urlsafe(24),
                services=('drafts', 'ledger'),
            )
            for index in range(customers)
        )
        self._step = step

    @property
    def entry(self) -> str:
        """Return the entry's base address."""
        return self.entry_addresses()[0]

    @property
    def engine(self) -> str:
        """Return the engine's base address."""
        return self._endpoints['engine']

    @property
    def ledger(self) -> str:
        """Return the ledger service's base address."""
        return self._endpoints['ledger']

    async def _start_standins(self) -> None:
        self.platform = await self._start_standin(
            'platform', ['marigoldramp_standins.platform']
        )
        self._endpoints['engine'] = await self._start_standin(
            'engine',
            [
                'marigoldramp_standins.engine',
                f'--model={demo_layout.MODEL}',
                f'--slots={SLOTS}',
                f'--queue={SLOTS}',
                f'--step={self._step}',
                '--sequence=0',
                '--prompt-token=0',
            ],
        )
        self._endpoints['ledger'] = await self._start_standin(
            'ledger',
            [
                'marigoldramp_standins.service',
                '--name=ledger',
                '--seconds=0',
            ],
        )

    def _lay_out(self, entries: int) -> list[demo_layout.Node]:
        centre = demo_layout.DATA_CENTRES[0]
        return [
            demo_layout.make_node(
                name=ENGINE_AGENT,
                data_centre=centre,
                service='drafts',
                endpoint=self.engine,
                kind='model_engine',
            ),
            demo_layout.make_node(
                name=LEDGER_AGENT,
                data_centre=centre,
                service='ledger',
                endpoint=self.ledger,
                kind='plain_service',
            ),
            demo_layout.make_node(name=ENTRY, data_centre=centre),
        ]

    def write_settings(
        self, node: demo_layout.Node, path: pathlib.Path
    ) -> None:
        super().write_settings(node, path)
        document = yaml.safe_load(path.read_text())
        if node.role == 'agent':
            document['agent'].update(slots=SLOTS, queue=SLOTS)
        path.write_text(yaml.safe_dump(document))

    def make_bundle(self, entries: int) -> bundle.Bundle:
        services = (demo_layout.DRAFTS, demo_layout.LEDGER)
        names = {one.name for one in services}
        return bundle.Bundle(
            number=1,
            note='measurement',
            services=services,
            routes=tuple(
                one for one in demo_layout.ROUTES if one.service in names
            ),
            customers=tuple(
                bundle.Customer(
                    name=one.name,
                    key_digests=(
                        hashlib.sha256(one.key.encode()).hexdigest(),
                    ),
                    services=one.services,
                    requests_per_second=FREE_RATE,
                    concurrent_calls=SLOTS,
                    tokens_per_second=FREE_RATE,
                    entries=entries,
                )
                for one in self.callers
            ),
        )


def _ignore(text: str) -> None:
    """Drop the progress lines of the demonstration."""


@contextlib.asynccontextmanager
async def start(
    *, customers: int = 1, step: float = 0.005
) -> AsyncIterator[MeasuredFleet]:
    """Run the processes while the context lasts."""
    with tempfile.TemporaryDirectory(prefix='marigoldramp-') as folder:
        fleet = MeasuredFleet(
            folder=pathlib.Path(folder), customers=customers, step=step
        )
        try:
            await fleet.start(entries=1)
            yield fleet
        finally:
            if not await fleet.stop():
                print('a process did not end with exit code 0')
