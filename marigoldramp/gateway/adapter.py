"""The interface between a gateway and the platform it is deployed on."""

from typing import Awaitable
from typing import Callable
from typing import TYPE_CHECKING

from .. import store as store_module
from . import codecs
from . import configurations
from . import inbound
from . import listings
from . import ranks
from . import settings as settings_module
from .shared_state import evacuation_follower

if TYPE_CHECKING:
    from . import program

Page = Callable[[inbound.Exchange], Awaitable[None]]


class Adapter:
    """The platform-specific parts of a gateway.

    The package ``platform`` implements them.

    :param codec: reads and writes the headers of requests and answers.
    :param configuration: source of the operator's configuration.
    :param endpoint_source: source of the list of endpoints.
    :param store: the platform's object store.
    :param rank_api: sends orders and queries to ranks.
    :param make_pages: creates the HTTP handlers for the platform.
    :param read_settings: reads the settings again.
    :param evacuation_source: where the operator evacuates data centres,
        ``None`` if the platform does not offer it.
    """

    __slots__ = (
        'codec',
        'configuration',
        'endpoints',
        'store',
        'ranks',
        'make_pages',
        'read_settings',
        'evacuations',
    )

    def __init__(
        self,
        *,
        codec: codecs.Codec,
        configuration: configurations.ConfigurationSource,
        endpoint_source: listings.EndpointSource,
        store: store_module.PlatformStore,
        rank_api: ranks.RankApi,
        make_pages: "Callable[[program.Program], Pages]",
        read_settings: Callable[[], settings_module.Settings],
        evacuation_source: evacuation_follower.EvacuationSource | None = None,
    ) -> None:
        self.codec = codec
        self.configuration = configuration
        self.endpoints = endpoint_source
        self.store = store
        self.ranks = rank_api
        self.make_pages = make_pages
        self.read_settings = read_settings
        self.evacuations = evacuation_source


class Pages:
    """HTTP handlers for readiness checks and address queries."""

    __slots__ = ('readiness', 'addresses')

    def __init__(self, *, readiness: Page, addresses: Page) -> None:
        self.readiness = readiness
        self.addresses = addresses
