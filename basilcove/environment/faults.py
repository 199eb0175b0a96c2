"""Faults of a document, each with its path."""

from collections.abc import Mapping
from dataclasses import dataclass

Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """One fault; ``line`` counts from 1 and is None if it isn't known."""

    path: str
    text: str
    line: int | None = None

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        location = self.path or 'document'
        if self.line is not None:
            location = f'line {self.line}, {location}'
        return f'{location}: {self.text}'


@dataclass(frozen=True, slots=True)
class DocumentFaults:
    """All faults of a document, in the order of their lines."""

    faults: tuple[DocumentFault, ...]


def locate(path: Path, text: str, lines: Mapping[Path, int]) -> DocumentFault:
    """Build a fault whose line is that of the path, or of its nearest known parent."""
    line = None
    for length in range(len(path), -1, -1):
        line = lines.get(path[:length])
        if line is not None:
            break
    return DocumentFault('.'.join(path), text, line)
