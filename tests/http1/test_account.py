"""The account of received bytes."""

import threading

from hypothesis import given
from hypothesis import strategies as st

from basilcove.http1.account import ReceiveAccount, ReceiveShare

MAX_BYTES = 1000


class Holder:
    """A connection that gives back its bytes when it is evicted, unless it is slow to do so."""

    def __init__(self, account: ReceiveAccount, *, is_slow: bool = False) -> None:
        """Open a share."""
        self.is_slow = is_slow
        self.evictions = 0
        self.share: ReceiveShare = account.open(self.give_way)

    def give_way(self) -> None:
        """Give the bytes back."""
        self.evictions += 1
        if not self.is_slow:
            self.share.close()


class TestEviction:
    """Which share gives way."""

    def test_largest_unfinished(self) -> None:
        """Guards against refusing the newest, ordinary caller instead of the one that fills the account."""
        account = ReceiveAccount(MAX_BYTES)
        large, small, newest = (Holder(account) for _ in range(3))
        large.share.resize(700)
        small.share.resize(200)
        newest.share.resize(150)
        assert (large.evictions, small.evictions, newest.evictions) == (1, 0, 0)
        assert account.used_bytes == 350

    def test_complete_stays(self) -> None:
        """Guards against evicting a request that may already run."""
        account = ReceiveAccount(MAX_BYTES)
        complete, unfinished = Holder(account), Holder(account)
        complete.share.resize(900)
        assert complete.share.complete()
        unfinished.share.resize(200)
        assert (complete.evictions, unfinished.evictions) == (0, 1)
        assert account.used_bytes == 900

    def test_evicted_is_not_run(self) -> None:
        """Guards against running a request that another thread has refused meanwhile."""
        account = ReceiveAccount(MAX_BYTES)
        holder = Holder(account, is_slow=True)
        holder.share.resize(MAX_BYTES + 1)
        assert not holder.share.complete()

    def test_slow_holder(self) -> None:
        """Guards against evicting everyone while the first evicted one still has to give its bytes back."""
        account = ReceiveAccount(MAX_BYTES)
        slow, other = Holder(account, is_slow=True), Holder(account)
        slow.share.resize(900)
        for size in range(200, 300):
            other.share.resize(size)
        assert (slow.evictions, other.evictions) == (1, 0)

    def test_handled_eviction(self) -> None:
        """Guards against a share that, once evicted, is never counted or evicted again."""
        account = ReceiveAccount(MAX_BYTES)
        holder = Holder(account, is_slow=True)
        for evictions in (1, 2):
            holder.share.resize(MAX_BYTES + 1)
            assert (holder.share.is_evicted, holder.evictions) == (True, evictions)
            holder.share.resize(0)
            assert not holder.share.is_evicted
        holder.share.resize(MAX_BYTES)
        assert account.used_bytes == MAX_BYTES

    def test_failing_holder(self) -> None:
        """Guards against a failure of one holder that leaves others evicted without notice."""
        account = ReceiveAccount(MAX_BYTES)

        def fail() -> None:
            raise OSError

        failing, other = account.open(fail), Holder(account)
        failing.resize(900)
        other.share.resize(MAX_BYTES + 1)
        failing.close()
        assert other.evictions == 1
        assert account.used_bytes == 0


class TestProperties:
    """Any order of calls."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('resize', 'complete', 'close')),
                st.integers(0, 7),
                st.integers(0, 2 * MAX_BYTES),
            ),
            max_size=60,
        )
    )
    def test_any_order(self, calls: list[tuple[str, int, int]]) -> None:
        """Guards against bytes that stay charged, and against more of them than the account allows."""
        account = ReceiveAccount(MAX_BYTES)
        holders = [Holder(account) for _ in range(8)]
        for name, index, size in calls:
            share = holders[index].share
            if name == 'resize':
                share.resize(size)
            elif name == 'complete':
                share.complete()
            else:
                share.close()
            complete = sum(each.share.size_bytes for each in holders if each.share.is_complete)
            assert account.used_bytes <= max(MAX_BYTES, complete)
            assert account.used_bytes == sum(each.share.size_bytes for each in holders)
        for holder in holders:
            assert holder.evictions <= 1
            holder.share.close()
        assert account.used_bytes == 0

    def test_threads(self) -> None:
        """Guards against lost updates: cheroot's servers charge one account from many threads."""
        account = ReceiveAccount(MAX_BYTES)

        def work() -> None:
            for size in range(2000):
                holder = Holder(account)
                holder.share.resize(size)
                holder.share.complete()
                holder.share.close()

        threads = [threading.Thread(target=work) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert account.used_bytes == 0
