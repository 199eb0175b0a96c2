"""Events and effects of operator calls."""

from dataclasses import dataclass
from typing import NewType

from basilcove.core.events import Effect, Event, Message

CallId = NewType('CallId', str)


@dataclass(frozen=True, slots=True)
class OperatorCalled(Event):
    """An operator's tool called this node."""

    call_id: CallId
    message: Message


@dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Answers an operator's call; ignored if the call has ended."""

    call_id: CallId
    message: Message
