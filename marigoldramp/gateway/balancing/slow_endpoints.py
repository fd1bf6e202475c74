"""The endpoints that a gateway reports to its peers as slow or failing."""

from . import endpoints
from . import quality


def list_slow(
    table: endpoints.EndpointTable, *, now: float
) -> dict[str, float]:
    """Return the endpoints that are slow or failing in requests from here.

    What peers report of them is left out.
    """
    usual = {
        service: table.find_median_seconds(service)
        for service in {one.record.service for one in table}
    }
    found: dict[str, float] = {}
    for one in table:
        seconds = usual[one.record.service]
        slowness = one.quality.slowness_for_peers(usual=seconds, now=now)
        if slowness > quality.MIN_SLOW_RATIO:
            found[one.identity] = round(slowness, 2)
        elif one.quality.has_recovered(usual=seconds, now=now):
            found[one.identity] = 1.0
    return found
