"""Decides how many tokens an upstream may hold for a further request to be sent there.

Guards against long prompts from several gateways that meet at one upstream and exceed its memory. The
upstream then crashes or breaks off one of its streams. Requests of usual size are hardly ever affected.
"""

from dataclasses import dataclass, field

from basilcove.core.ids import ServiceName
from basilcove.memory.const import LIGHT_SHARE, LONG_SHARE, MARGIN_SHARE

# No upstream holds as little.
_NOWHERE = -1


@dataclass(slots=True)
class UpstreamMemory:
    """Memory of an upstream by service, in tokens; services that state none are not listed.

    ``others`` has the tokens that all other gateways hold by instance; None while no control host reports
    them.
    """

    sizes: dict[ServiceName, int] = field(default_factory=dict)
    others: dict[str, int] | None = None

    def bound(self, service: ServiceName, tokens: int, gateways: int) -> float:
        """Return how many tokens an upstream may hold for a request with ``tokens`` to be sent there.

        The bound is negative if the request fits nowhere. It applies to the tokens of all gateways or, while
        those of the others aren't known, to the tokens of this gateway, one of ``gateways``. KeyError if the
        service states no memory.
        """
        size = self.sizes[service]
        if self.others is None:
            return own_bound(tokens, size, gateways)
        return total_bound(tokens, size)

    def add_long(self, instance: str, tokens: int) -> None:
        """Add a request of another gateway that the totals don't contain yet; the next totals replace them.

        The cost grows with the number of upstreams.
        """
        if self.others is not None:
            self.others = {**self.others, instance: self.others.get(instance, 0) + tokens}

    def is_long(self, service: ServiceName, tokens: int) -> bool:
        """Return whether few requests with so many tokens fill an upstream."""
        return tokens > LONG_SHARE * self.sizes[service]


def total_bound(tokens: int, size: int) -> float:
    """Return the bound on the tokens of all gateways at an upstream with a memory of ``size`` tokens.

    A margin stays free for what other gateways send there before they know of this request. An upstream that
    holds nothing takes any request that fits into its memory.
    """
    if tokens > size:
        return _NOWHERE
    free = size * (1 - MARGIN_SHARE) - tokens
    if tokens > LONG_SHARE * size:
        free = min(free, max(size - 2 * tokens, LIGHT_SHARE * size))
    return max(0, free)


def own_bound(tokens: int, size: int, gateways: int) -> float:
    """Return the bound on the tokens of this gateway alone, which keeps to an equal share of the memory.

    An upstream where it holds nothing takes any request that fits into its memory.
    """
    if tokens > size:
        return _NOWHERE
    return max(0, size / gateways - tokens)
