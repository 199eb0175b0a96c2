"""Canonical JSON of a document, its digest, and deltas between two documents."""

import hashlib
import json
from typing import Any, Final

import jsonpatch
import jsonpointer

from basilcove.environment.const import DIGEST_PREFIX, MAX_DOCUMENT_BYTES
from basilcove.environment.exceptions import DeltaError
from basilcove.environment.models import Environment

_ABSENT: Final = object()
# Exceptions that the library raises on malformed patches, besides its own.
_MALFORMED: Final = (ValueError, TypeError, LookupError, AttributeError, RecursionError)
_OPERATIONS: Final = frozenset(('add', 'remove', 'replace', 'move'))


def canonical(environment: Environment) -> str:
    """Return the canonical JSON: sorted keys, no spaces, no defaults.

    Defaults are omitted, so that a version that doesn't know a new key can still
    read documents that don't use it. Therefore a default must never change.
    """
    return canonical_json(environment.model_dump(mode='json', exclude_defaults=True))


def canonical_json(content: Any) -> str:
    """Return JSON with sorted keys and without spaces."""
    return json.dumps(content, sort_keys=True, separators=(',', ':'), allow_nan=False)


def digest(text: str) -> str:
    """Return the digest of a canonical document, as ``sha256:`` and hexadecimal digits."""
    return DIGEST_PREFIX + hashlib.sha256(text.encode()).hexdigest()


def make_delta(base: str, target: str) -> str | None:
    """Return the JSON Patch between two canonical documents, or None if the target is not larger."""
    old, new = _drop_equal_entries(json.loads(base), json.loads(target), 2)
    patch = canonical_json(jsonpatch.make_patch(old, new).patch)
    return patch if len(patch) < len(target) else None


def apply_deltas(base: str, patches: list[str], target_digest: str) -> str:
    """Apply JSON Patches in order; DeltaError if the result doesn't have the target digest."""
    try:
        target = canonical_json(_apply_patches(json.loads(base), patches))
    except (jsonpatch.JsonPatchException, jsonpointer.JsonPointerException) as exc:
        raise DeltaError(f'the delta does not apply: {exc}') from exc
    except _MALFORMED as exc:
        raise DeltaError(f'malformed delta: {exc}') from exc
    if len(target) > MAX_DOCUMENT_BYTES or digest(target) != target_digest:
        raise DeltaError('the delta leads to another document than the stated one')
    return target


def _apply_patches(content: Any, patches: list[str]) -> Any:
    for patch in patches:
        steps = json.loads(patch)
        # Repeated copies would let a small patch grow a document without bound.
        if any(step['op'] not in _OPERATIONS for step in steps):
            raise DeltaError('the delta holds an operation that deltas never use')
        content = jsonpatch.JsonPatch(steps).apply(content, in_place=True)
    return content


def _drop_equal_entries(old: Any, new: Any, depth: int) -> tuple[Any, Any]:
    # Equal entries are removed first: the library compares every leaf by its JSON text, which takes most
    # of the time for a document of 2,000 teams.
    if depth == 0 or not (isinstance(old, dict) and isinstance(new, dict)):
        return old, new
    lean_old, lean_new = {}, {}
    for key, before in old.items():
        after = new.get(key, _ABSENT)
        if after is _ABSENT:
            lean_old[key] = before
        elif before != after:
            lean_old[key], lean_new[key] = _drop_equal_entries(before, after, depth - 1)
    lean_new.update((added, new[added]) for added in new.keys() - old.keys())
    return lean_old, lean_new
