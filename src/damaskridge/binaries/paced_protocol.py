"""
Parses the bodies of callers' requests in turns.

uvicorn parses all that one read has returned before other tasks run. A caller that
sends its body in tiny chunks would hold the event loop.
"""

from typing import Any

import h11
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from damaskridge.adapters.gateway.turn_queue import MAX_PARTS_PER_TURN, TurnQueue

__all__ = ["PacedProtocol"]


class _PacedConnection(h11.Connection):
    """
    A connection that returns a limited number of parts of a body.

    Attributes
    ----------
    parts_left : int
        Number of parts after which it claims to need more data.
    """

    parts_left = MAX_PARTS_PER_TURN

    def next_event(self) -> Any:
        """Return the next event, or `h11.NEED_DATA` once no part is left."""
        if not self.parts_left:
            return h11.NEED_DATA
        event = super().next_event()
        if isinstance(event, h11.Data):
            self.parts_left -= 1
        return event


class _PacedFlow(FlowControl):
    """Flow control that reads nothing while received data waits for a turn."""

    is_held = False

    def hold(self) -> None:
        if not self.is_held:
            self.is_held = True
            self._transport.pause_reading()

    def release(self) -> None:
        if self.is_held:
            self.is_held = False
            if not self.read_paused:
                self._transport.resume_reading()

    def resume_reading(self) -> None:
        if self.is_held:
            self.read_paused = False
        else:
            super().resume_reading()


class PacedProtocol(H11Protocol):
    """uvicorn's protocol with a limited number of parts of a body in each turn."""

    conn: _PacedConnection
    flow: _PacedFlow
    _has_requested_turn = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.conn = _PacedConnection(
            h11.SERVER, self.config.h11_max_incomplete_event_size or 0
        )

    def connection_made(self, transport: Any) -> None:
        """Replace the flow control before the first byte is received."""
        super().connection_made(transport)
        self.flow = _PacedFlow(transport)

    def handle_events(self) -> None:
        """Handle received data, and the rest of it in another turn."""
        self.conn.parts_left = MAX_PARTS_PER_TURN
        super().handle_events()
        if self.conn.parts_left:
            self.flow.release()
        elif not self._has_requested_turn:
            self._has_requested_turn = True
            self.flow.hold()
            TurnQueue.of_running_loop().call(self._continue)

    def _continue(self) -> None:
        self._has_requested_turn = False
        if not self.transport.is_closing():
            self.handle_events()
