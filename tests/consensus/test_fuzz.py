from hypothesis import HealthCheck, settings

from tests.consensus.machine import ClusterMachine


class TestClusterUnderFailures(ClusterMachine.TestCase):
    """Guards against lost or changed commands, double grants and two leaders under any failures."""

    settings = settings(
        derandomize=True,
        max_examples=50,
        stateful_step_count=40,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
