"""Decides when an upstream reports its load to routers."""

from basilcove.routing.const import (
    MIN_REPORT_INTERVAL_S,
    REPORT_CHANGE_FRACTION,
    REPORT_CHANGE_S,
    REPORT_REPEAT_S,
)
from basilcove.routing.models import UpstreamLoad


def is_report_due(last: UpstreamLoad | None, reported_at: float, load: UpstreamLoad, now: float) -> bool:
    """Return whether an upstream should report its load; times in seconds.

    The load of an idle upstream is reported once; that of a busy one is repeated, since routers ignore
    old reports.
    """
    if last is None:
        return True
    if now - reported_at < MIN_REPORT_INTERVAL_S:
        return False
    if load.queued_work and now - reported_at >= REPORT_REPEAT_S:
        return True
    return _affects_routing(last, load)


def _affects_routing(last: UpstreamLoad, load: UpstreamLoad) -> bool:
    """Return whether the newer load may change the choice of a router for an attempt of any level."""
    if not last.queued_work or not load.queued_work:
        return last.queued_work != load.queued_work
    if _is_changed(last.tokens_per_s, load.tokens_per_s, 0):
        return True
    threshold = load.tokens_per_s * REPORT_CHANGE_S
    levels = {level for level, _ in (*last.work_by_level, *load.work_by_level)}
    return any(
        _is_changed(last.work_ahead(level), load.work_ahead(level), threshold) for level in (None, *levels)
    )


def _is_changed(one: float, other: float, threshold: float) -> bool:
    return abs(one - other) > max(REPORT_CHANGE_FRACTION * max(one, other), threshold)
