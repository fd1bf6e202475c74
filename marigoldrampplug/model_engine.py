"""Endpoint kind for model engines: the end mark of chat streams."""

from marigoldramp import asgi
from marigoldramp import endpoint_kinds

EVENT_STREAM = b'text/event-stream'
END_MARK = b'data: [DONE]'


class ModelEngine(endpoint_kinds.EndpointKind):
    """An engine that streams chat completions as server-sent events."""

    def is_end(self, *, headers: asgi.Headers, tail: bytes) -> bool:
        """A stream is whole when its end mark has come.

        An engine that dies may close its connection in good order, so the
        end of the body alone says nothing.
        """
        if not _is_event_stream(headers):
            return True
        return tail.rstrip().endswith(END_MARK)


def _is_event_stream(headers: asgi.Headers) -> bool:
    for key, value in headers:
        if key == b'content-type':
            return value.startswith(EVENT_STREAM)
    return False
