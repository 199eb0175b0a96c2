"""States and drivers of each role, by builders that the process looks up."""

from basilcove.roles import agent as _agent  # noqa: F401
from basilcove.roles import control as _control  # noqa: F401
from basilcove.roles import entry as _entry  # noqa: F401
