"""Data folders on disk and in memory, with explicit durability."""

import fcntl
import os
from pathlib import Path
from typing import Protocol

__all__ = ["DiskFolder", "Folder", "VolatileFolder"]

TEMPORARY_SUFFIX = ".tmp"


class Folder(Protocol):
    """Interface of a data folder; a file name has no directory part."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to an existing file; not durable before `sync`."""
        ...

    def sync(self, name: str) -> None:
        """Make all appended data durable."""
        ...

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file, durably."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Create or replace a file, atomically and durably."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file, durably."""
        ...


class DiskFolder:
    """
    A folder on disk, locked until `close`.

    The lock keeps two processes from voting twice under the same member id.

    Parameters
    ----------
    path : Path
        The folder, which is created if it is missing.
    """

    def __init__(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)
        self._path = path
        self._descriptors: dict[str, int] = {}
        self._folder_descriptor = os.open(path, os.O_RDONLY)
        try:
            fcntl.flock(self._folder_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._folder_descriptor)
            raise
        for temporary in path.glob(f"*{TEMPORARY_SUFFIX}"):
            temporary.unlink()
        self._sync_folder()

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(path.name for path in self._path.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to an existing file; not durable before `sync`."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor(name), view) :]

    def sync(self, name: str) -> None:
        """Make all appended data durable."""
        os.fsync(self._descriptor(name))

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file, durably."""
        os.ftruncate(self._descriptor(name), size_bytes)
        self.sync(name)

    def replace(self, name: str, data: bytes) -> None:
        """Create or replace a file, atomically and durably."""
        self._close(name)
        temporary = self._path / (name + TEMPORARY_SUFFIX)
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path / name)
        self._sync_folder()

    def remove(self, name: str) -> None:
        """Remove a file, durably."""
        self._close(name)
        (self._path / name).unlink(missing_ok=True)
        self._sync_folder()

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            self._close(name)
        os.close(self._folder_descriptor)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_APPEND
            self._descriptors[name] = os.open(self._path / name, flags)
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        os.fsync(self._folder_descriptor)


class VolatileFolder:
    """A folder in memory, for a member whose host has no disk."""

    def __init__(self) -> None:
        self._files: dict[str, bytearray] = {}

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return bytes(self._files[name])

    def append(self, name: str, data: bytes) -> None:
        """Append to an existing file."""
        self._files[name] += data

    def sync(self, name: str) -> None:
        """Do nothing: the content is lost with the process anyway."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file."""
        del self._files[name][size_bytes:]

    def replace(self, name: str, data: bytes) -> None:
        """Create or replace a file."""
        self._files[name] = bytearray(data)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._files.pop(name, None)

    def close(self) -> None:
        """Delete all files."""
        self._files.clear()
