"""Errors of the files under the data folder."""

from basilcove.exceptions import BasilcoveError


class StorageError(BasilcoveError):
    """The data folder can't be used."""


class StorageDamagedError(StorageError):
    """Synced records or the snapshot are damaged; the data must not be used."""


class StorageFailedError(StorageError):
    """A write or sync failed; nothing more is written by this process."""


class StorageFullError(StorageFailedError):
    """There was no space for a write; durable data is intact, and the write can be retried."""
