"""Takes the memory of upstreams from the document."""

from basilcove.core.events import Effect, Log
from basilcove.core.reducer import Context, handles
from basilcove.environment.events import EnvironmentChanged
from basilcove.gateway.models import GatewayState


@handles(EnvironmentChanged, GatewayState)
def _on_environment(state: GatewayState, event: EnvironmentChanged, ctx: Context) -> list[Effect]:
    sizes = {
        name: service.memory_tokens
        for name, service in event.environment.services.items()
        if service.memory_tokens
    }
    if sizes == state.pools.memory.sizes:
        return []
    state.pools.memory.sizes = sizes
    stated = ' '.join(f'{name}={size}' for name, size in sorted(sizes.items()))
    return [Log('info', 'memory of upstreams changed', (('memory_tokens', stated),))]
