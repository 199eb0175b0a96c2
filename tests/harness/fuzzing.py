"""Settings of the stateful tests."""

from hypothesis import HealthCheck, Phase, settings


def stateful(examples: int, steps: int) -> settings:
    """Return derandomized settings without shrinking, which takes minutes for a failure."""
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        phases=(Phase.explicit, Phase.generate),
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
