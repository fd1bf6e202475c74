"""How much worse a cold endpoint is for a request than a warm one."""

#: Time by which a cold endpoint may answer later than others.  Divided by the
#: time that is left for a request, it is the penalty of a cold endpoint in
#: requests in flight: urgent requests go elsewhere while others have room, and
#: those that have time warm the endpoint up.
COLD_DELAY_SECONDS = 0.6
#: Time left that is assumed for a request that will be late anyway, so that a
#: longer wait costs little.
LATE_SECONDS = 1.0
#: Limits of the penalty: a cold endpoint is never as good as a warm one, nor
#: worse than one with a queue.
MIN_COLD_PENALTY = 0.4
MAX_COLD_PENALTY = 6.0


def find_penalty(seconds: float) -> float:
    """Return the penalty of a cold endpoint, in requests in flight.

    :param seconds: time until the request will miss its objective.
    """
    if seconds <= 0.0:
        seconds = LATE_SECONDS
    return min(
        MAX_COLD_PENALTY, max(MIN_COLD_PENALTY, COLD_DELAY_SECONDS / seconds)
    )
