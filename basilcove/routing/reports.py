"""Decides when a load report is worth its message."""

from basilcove.routing.const import (
    REPORT_CHANGE,
    REPORT_CHANGE_S,
    REPORT_INTERVAL_S,
    REPORT_REPEAT_S,
)
from basilcove.routing.models import UpstreamLoad


def is_report_due(last: UpstreamLoad | None, reported_at: float, load: UpstreamLoad, now: float) -> bool:
    """Tell whether an upstream's load is to be reported; times in seconds.

    The load of an idle upstream is reported once. Another load is repeated, since routers ignore an old one.
    """
    if last is None:
        return True
    if now - reported_at < REPORT_INTERVAL_S:
        return False
    if load.queued_work and now - reported_at >= REPORT_REPEAT_S:
        return True
    return _matters(last, load)


def _matters(last: UpstreamLoad, load: UpstreamLoad) -> bool:
    """Tell whether a router may choose otherwise by the newer load, for an attempt of any level."""
    if not last.queued_work or not load.queued_work:
        return last.queued_work != load.queued_work
    if _differs(last.tokens_per_s, load.tokens_per_s, 0):
        return True
    floor = load.tokens_per_s * REPORT_CHANGE_S
    levels = {level for level, _ in (*last.work_by_level, *load.work_by_level)}
    return any(_differs(last.work_until(level), load.work_until(level), floor) for level in (None, *levels))


def _differs(one: float, other: float, floor: float) -> bool:
    return abs(one - other) > max(REPORT_CHANGE * max(one, other), floor)
