"""A hold ends by an order of before, while a leader that took the group over arms ranks under it."""

from dataclasses import dataclass

from basilcove.core.ids import Rank
from basilcove.experts.remote.const import TOKENS_PER_TERM
from basilcove.experts.remote.events import CallRank
from basilcove.experts.remote.models import GroupChange, Phase, RemoteGroup, RemoteGroups
from basilcove.experts.remote.orders import ArmMap, DisarmMap, OrderResult, ReleaseStep
from tests.experts.remote.ranks import FakeGroup

HOLDER, UNARMED = Rank(0), Rank(2)
# When the former release is carried out, from the takeover on; longer than a report lags.
RELEASED_AFTER_S = 0.95
IDLE_S = 3.0


@dataclass
class HeldGroup(FakeGroup):
    """A group whose step a former change holds; one rank isn't armed, as the order gets no answer."""

    released_at: float = 0
    # Whether the holder leaves the fence unanswered until the former release is carried out.
    is_fence_late: bool = False

    def hold(self, token: int) -> GroupChange:
        """Let a change hold its step without an answer; its release is still to come."""
        former = self.lead(token)
        while former.phase is not Phase.HOLDING:
            self.run(0.01)
        self.leaders.clear()
        self.is_idle = True
        self.ranks[HOLDER].held = former.step
        self.run(2 * self.report_lag_s)
        self.released_at = self.now + RELEASED_AFTER_S
        release = CallRank(
            former.identity.name,
            HOLDER,
            0,
            former.ranks[HOLDER].instance,
            former.ranks[HOLDER].address,
            self.epoch,
            token,
            ReleaseStep(former.step),
        )
        self._at(RELEASED_AFTER_S, lambda: self._apply(release, None))
        return former

    def take_over(self, token: int) -> GroupChange:
        """Let a leader take over, and requests come again while it may have armed some ranks."""
        leader = self.lead(token)
        self.run(IDLE_S)
        self.is_idle = False
        self.run(1)
        return leader

    def _send(self, change: GroupChange, effect: CallRank) -> None:
        is_late_fence = self.is_fence_late and isinstance(effect.call, DisarmMap) and effect.rank == HOLDER
        is_unanswered = self.now < self.released_at and is_late_fence
        if self.is_idle and isinstance(effect.call, ArmMap) and effect.rank == UNARMED:
            is_unanswered = True
        if is_unanswered:
            self._at(0.4, lambda: self._answer(change, effect, OrderResult.UNKNOWN))
        else:
            super()._send(change, effect)


class TestLateFence:
    def test_report_from_before_the_last_fence(self) -> None:
        """Guards against ranks that are armed under a hold that ended before the last rank was fenced."""
        group = HeldGroup(seed=1, report_lag_s=0.4, is_fence_late=True)
        former = group.hold(token=1)
        group.take_over(token=former.token + 1)
        assert not group.is_split


class TestSameLeader:
    def test_release_of_the_former_change(self) -> None:
        """Guards against a release of before that ends the hold under which the same leader arms ranks."""
        group = HeldGroup(seed=1, report_lag_s=0.4)
        groups = RemoteGroups(term=1)
        tokens = []
        for _ in range(2):
            groups.take_over(RemoteGroup(group.identity, {}, group.layout))
            tokens.append(groups.changes[group.identity.name].token)
        group.hold(tokens[0])
        group.take_over(tokens[1])
        assert not group.is_split

    def test_tokens_of_terms(self) -> None:
        """Guards against a leader of a later term that is fenced off by many takeovers of a former one."""
        group = HeldGroup(seed=1)
        groups = RemoteGroups(term=1)
        for _ in range(2 * TOKENS_PER_TERM):
            groups.take_over(RemoteGroup(group.identity, {}, group.layout))
        last = groups.changes[group.identity.name].token
        later = RemoteGroups(term=2)
        later.take_over(RemoteGroup(group.identity, {}, group.layout))
        assert later.changes[group.identity.name].token > last
