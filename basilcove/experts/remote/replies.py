"""Records what ranks answer during a change of a map."""

from basilcove.core.ids import Rank
from basilcove.experts.remote.const import REPORT_INTERVAL_S
from basilcove.experts.remote.models import GroupChange
from basilcove.experts.remote.orders import OrderResult, RankCounts, RankLists, RankReport, Reply
from basilcove.experts.remote.popularity import add_counts


def is_of_another_epoch(change: GroupChange, reply: Reply) -> bool:
    """Return whether a rank answered as a member of another epoch of the group."""
    return not isinstance(reply, OrderResult) and reply.epoch != change.identity.epoch


def record_reply(change: GroupChange, rank: Rank, reply: Reply, now: float) -> None:
    """Record the answer of a rank to a query; the result of an order changes nothing here."""
    if isinstance(reply, RankReport):
        _record_report(change, rank, reply, now)
    elif isinstance(reply, RankLists):
        change.lists[rank] = reply
    elif isinstance(reply, RankCounts):
        add_counts(change, rank, reply)


def _record_report(change: GroupChange, rank: Rank, report: RankReport, now: float) -> None:
    former, at = change.reports.get(rank), change.reported_at.get(rank, now)
    if former is not None and now - at > REPORT_INTERVAL_S / 2 and report.step >= former.step:
        change.pace = (report.step - former.step) / (now - at)
    change.reports[rank] = report
    change.reported_at[rank] = now
