"""Checks of registrations, which any writer may send and other builds may have let pass."""

import ipaddress
import re
from collections.abc import Iterator

from basilcove.registry.const import (
    MAX_NUMBER,
    MAX_PORT,
    MAX_SEQUENCE,
    MAX_SLOTS,
    MAX_TEXT_LENGTH,
)
from basilcove.registry.messages import Registration

_HOST_LABEL = '[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
_HOST_NAME = re.compile(rf'(?=.{{1,253}}\Z){_HOST_LABEL}(\.{_HOST_LABEL})*\Z')
_PORT = re.compile('[0-9]{1,5}')


def find_fault(registration: Registration) -> str | None:
    """Return why a registration can't be used; None if it can."""
    return next(_find_faults(registration), None)


def is_address(address: str) -> bool:
    """Return whether a text is ``host:port``, with a host name or an IP address."""
    host, _, port = address.rpartition(':')
    if _PORT.fullmatch(port) is None or not 0 < int(port) <= MAX_PORT:
        return False
    return _HOST_NAME.match(host) is not None or _is_ip_address(host)


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _find_faults(registration: Registration) -> Iterator[str]:
    for name in ('instance', 'service', 'zone', 'group'):
        if not _is_plain_text(getattr(registration, name), may_be_empty=name == 'group'):
            yield f'{name} is no text of 1 to {MAX_TEXT_LENGTH} printable characters'
    if not is_address(registration.address):
        yield 'address is not host:port'
    for name, limit in (
        ('born_ms', MAX_NUMBER),
        # The departure of an instance has the highest sequence.
        ('sequence', MAX_NUMBER if registration.sequence != MAX_SEQUENCE else MAX_SEQUENCE),
        ('epoch', MAX_NUMBER),
        ('slots', MAX_SLOTS),
        ('rank', MAX_SLOTS),
        ('group_size', MAX_SLOTS),
        ('cold_s', MAX_NUMBER),
    ):
        # A comparison with NaN is false.
        if not 0 <= getattr(registration, name) <= limit:
            yield f'{name} is not from 0 to {limit}'


def _is_plain_text(text: str, *, may_be_empty: bool) -> bool:
    if not text:
        return may_be_empty
    return len(text) <= MAX_TEXT_LENGTH and text.isprintable()
