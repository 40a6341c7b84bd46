"""Walks the files of the repository, without what was built or recorded."""

import os
from pathlib import Path
from typing import Iterator

SKIPPED_DIRECTORIES = {".git", "journal", "target", "__pycache__"}
SKIPPED_ROOT_PREFIXES = ("build", "fleet-")


def is_skipped(directory: Path, root: Path) -> bool:
    """Whether a directory holds what was built or recorded."""
    if directory.name in SKIPPED_DIRECTORIES:
        return True
    return directory.parent == root and directory.name.startswith(SKIPPED_ROOT_PREFIXES)


def files_under(root: Path) -> Iterator[Path]:
    for directory, subdirectories, names in os.walk(root):
        subdirectories[:] = sorted(name for name in subdirectories if not is_skipped(Path(directory, name), root))
        yield from (Path(directory, name) for name in sorted(names))


def line_of(text: str, offset: int) -> int:
    """The number of the line in which an offset lies."""
    return text.count("\n", 0, offset) + 1


def blank(text: str) -> str:
    """As many spaces as the text has characters, with its line ends, so that offsets and lines stay."""
    return "".join("\n" if character == "\n" else " " for character in text)
