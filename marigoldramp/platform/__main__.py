"""Runs a gateway on the platform: ``python -m marigoldramp.platform``."""

import functools
import sys

import anyio

from .. import logs
from .. import metrics
from . import asyncio_only  # noqa: F401  must precede httpcore
from . import configuration
from . import endpoints
from . import evacuations
from ..gateway import adapter
from ..gateway import program
from . import headers
from . import objects
from . import pages
from . import ranks
from . import settings_file

BAD_SETTINGS_EXIT_CODE = 2


def main() -> int:
    """Read the settings and run; return the exit code."""
    try:
        path = settings_file.read_path_from_environment()
        settings = settings_file.read(path)
    except (OSError, ValueError) as error:
        sys.stderr.write(f'{error}\n')
        return BAD_SETTINGS_EXIT_CODE
    logs.configure_stdout(instance=settings.instance)
    store = objects.ObjectStore(address=settings.store)
    platform_adapter = adapter.Adapter(
        codec=headers.Codec(),
        configuration=configuration.StoreConfigurationSource(objects=store),
        endpoint_source=endpoints.StoreEndpointSource(objects=store),
        evacuation_source=evacuations.StoreEvacuationSource(
            store_objects=store
        ),
        store=store,
        rank_api=ranks.HttpRankApi(link_rate=settings.link_rate),
        make_pages=pages.make,
        read_settings=functools.partial(settings_file.read, path),
    )
    anyio.run(
        functools.partial(
            program.run,
            settings=settings,
            adapter=platform_adapter,
            metrics=metrics.create_local(instance=settings.instance),
        )
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
