import asyncio

from soak.calls import call
from tests.harness.processes import free_address


class TestCall:
    def test_cancellation_is_not_lost(self) -> None:
        """Guards against a soak that never ends because a task treats its cancellation as a failed call."""

        async def check() -> None:
            lost = []
            for steps in range(30):
                task = asyncio.create_task(call(free_address(), 'GET', '/'))
                for _ in range(steps):
                    await asyncio.sleep(0)
                if task.cancel():
                    await asyncio.wait((task,))
                    lost.extend([] if task.cancelled() else [steps])
            assert not lost

        asyncio.run(check())
