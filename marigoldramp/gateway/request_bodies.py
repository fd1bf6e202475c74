"""Bounds the memory that bodies take up together.

The body of a request is kept until it is served, as the request may have to be
sent again; that of a plain answer until it is whole.  Each is bounded in size
and in time, but many large ones could still use up the memory of the process.
"""

from typing import Callable

#: Bytes of each body that are not counted.  Requests and answers of ordinary
#: size are accepted while large ones are refused; the number of connections
#: bounds what they take up.
UNCOUNTED_BYTES = 16384
#: Share of the process's memory that counted bytes may take up.
MEMORY_SHARE = 0.1
#: The same in bytes if the memory of the process is not known.
DEFAULT_SUM_BYTES = 16777216


def find_sum_bound(memory: int) -> int:
    """Return how many counted bytes all bodies together may have.

    :param memory: bytes that the process may use, 0 if not known.
    """
    return int(MEMORY_SHARE * memory) or DEFAULT_SUM_BYTES


class RequestBodies:
    """The bodies of all requests, or of all answers.

    :param most: returns how many counted bytes they may have.
    :ivar held: counted bytes that they have.
    """

    __slots__ = ('_most', 'held')

    def __init__(self, *, most: Callable[[], int]) -> None:
        self._most = most
        self.held = 0

    def reserve(self, *, before: int, size: int) -> bool:
        """Reserve memory for a body that grows; return whether there is room.

        :param before: bytes that it had.
        :param size: bytes that it has now.
        """
        more = _count(size) - _count(before)
        if more and self.held + more > self._most():
            return False
        self.held += more
        return True

    def release(self, size: int) -> None:
        """Release the memory of a body.

        :param size: bytes for which memory was reserved.
        """
        self.held -= _count(size)


def _count(size: int) -> int:
    return max(0, size - UNCOUNTED_BYTES)
