"""Rules on leases that drivers apply when they carry out an effect."""

import dataclasses

from basilcove.core.ids import GroupName
from basilcove.orders.events import CallEngine, SendOrder
from basilcove.orders.messages import Order


def lease_name(group: GroupName) -> str:
    """Return the name of the lease under which a group gets its orders."""
    return f'orders/{group}'


def order_in_force(effect: SendOrder, now: float) -> Order | None:
    """Return the order with the lease time that remains; None if the lease has ended.

    A process that was frozen between decision and effect thus does not act under a lease that has ended.
    """
    remaining_s = effect.lease_until - now
    if remaining_s <= 0:
        return None
    return dataclasses.replace(effect.order, lease_s=remaining_s)


def may_call(effect: CallEngine, now: float) -> bool:
    """Tell whether the lease of an order to the engine is still held."""
    return now < effect.not_after
