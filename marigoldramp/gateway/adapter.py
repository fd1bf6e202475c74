"""What a deployment's platform brings to a gateway."""

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

if TYPE_CHECKING:
    from . import program

Page = Callable[[inbound.Exchange], Awaitable[None]]


class Adapter:
    """What a deployment's platform brings; see the package ``platform``."""

    __slots__ = (
        'codec',
        'configuration',
        'endpoints',
        'store',
        'ranks',
        'make_pages',
        'read_settings',
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
    ) -> None:
        self.codec = codec
        self.configuration = configuration
        self.endpoints = endpoint_source
        self.store = store
        self.ranks = rank_api
        self.make_pages = make_pages
        self.read_settings = read_settings


class Pages:
    """The platform's own questions: readiness and addresses."""

    __slots__ = ('readiness', 'addresses')

    def __init__(self, *, readiness: Page, addresses: Page) -> None:
        self.readiness = readiness
        self.addresses = addresses
