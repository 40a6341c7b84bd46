#!/usr/bin/env python3
"""Checks that withdrawn words don't come back in names, comments, strings and file names.

Usage: check_words.py [--pending] [ROOT]    ROOT: the repository; by default the one that this script lies in

The words stand in .ci/withdrawn_words.txt, one a line, each with the term that replaces it:

    WORD -> TERM [| in=names] [| in=types] [| only=GLOB,GLOB] [| allowed=GLOB,GLOB because REASON]

  WORD      split at underscores, hyphens and changes of case; matches whole parts of a name, side by side and in any
            case: `old_word` matches `OldWord`, `an_old_word` and `old-word.cpp`, and not `bold_words`. With spaces it
            matches the words side by side in a text as well. `regex:PATTERN` is searched for as written.
  in=names  only names in C++ and Python code and names of files: neither comments, strings nor pages
  in=types  only a whole name in C++ code, in the case as written: for a type beside a common word
  only      only in these files; `*` stands for a part of a path, `**` for folders as well
  allowed   stays allowed in these files, for the reason given; may be repeated. An exception that isn't needed fails.

Lines that start with `# ` are comments. One that starts with `#` and a word is pending: not yet withdrawn; --pending
counts what is left of these.

Not looked at: platform/ (the users' names), the glossary, the list itself, and history (journal/, docs/incidents/,
docs/trials.md). Prints file, line, name and the term to use; ends with 1 where a word was found, with 2 where the
list can't be read.
"""

import argparse
import functools
import re
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Dict, Iterator, List, NamedTuple, Optional, Tuple

from repository_files import blank, files_under, line_of

LIST_PATH = ".ci/withdrawn_words.txt"
LEFT_OUT = re.compile(r"(platform|docs/incidents)/|docs/(glossary|trials)\.md$|" + re.escape(LIST_PATH) + "$")

NAME = re.compile(r"[A-Za-z][A-Za-z0-9]*(?:[_-]+[A-Za-z0-9]+)*")
NAME_PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|[0-9]+")
ESCAPE = re.compile(r"\\[abfnrtv0]")
CPP_COMMENT_OR_STRING = re.compile(
    r"//[^\n]*|/\*.*?\*/|R\"([^()\s\\]{0,16})\(.*?\)\1\"|\"(?:\\.|[^\"\\\n])*\"|(?<![0-9a-fA-F])'(?:\\.|[^'\\\n])+'",
    re.DOTALL)
PYTHON_COMMENT_OR_STRING = re.compile(
    r"\"\"\".*?\"\"\"|'''.*?'''|\"(?:\\.|[^\"\\\n])*\"|'(?:\\.|[^'\\\n])*'|#[^\n]*", re.DOTALL)
CPP_SUFFIXES = {".cpp", ".hpp"}

PENDING_LINE = re.compile(r"#(?=\S)")
OPTION_SEPARATOR = " | "
REASON_SEPARATOR = " because "
EVERYWHERE, NAMES, TYPES = "everywhere", "names", "types"


class ListError(Exception):
    """A line of the list that can't be read."""


class Exemption(NamedTuple):
    """Files in which a word stays allowed."""

    glob: str
    reason: str


@dataclass(frozen=True)
class Entry:
    """A withdrawn word."""

    word: str
    replacement: str
    scope: str
    only: Tuple[str, ...]
    exemptions: Tuple[Exemption, ...]
    line: int
    is_pending: bool

    @functools.cached_property
    def pattern(self) -> Optional[re.Pattern]:
        """What is searched for line by line, where the word isn't a name."""
        if self.word.startswith("regex:"):
            return re.compile(self.word[len("regex:"):], re.MULTILINE)
        if " " in self.word:
            words = r"(?:[\s_-]|//)+".join(re.escape(word) for word in self.word.split())
            return re.compile(r"(?<![A-Za-z0-9])" + words + r"(?![A-Za-z0-9])", re.IGNORECASE)
        return None

    @functools.cached_property
    def parts(self) -> Tuple[str, ...]:
        return () if self.word.startswith("regex:") else parts_of(self.word)


class Finding(NamedTuple):
    """A withdrawn word that was found; line 0 stands for the file's name."""

    path: str
    line: int
    name: str
    entry: Entry


def parts_of(name: str) -> Tuple[str, ...]:
    """`EditBatch2` and `edit_batch_2` as edit, batch and 2."""
    return tuple(part.lower() for part in NAME_PART.findall(name))


def glob_pattern(glob: str) -> re.Pattern:
    """A pattern of whole paths: `*` stays within a folder, `**` doesn't."""
    pieces = {"**/": "(?:.*/)?", "**": ".*", "*": "[^/]*"}
    return re.compile("".join(pieces.get(piece, re.escape(piece)) for piece in re.split(r"(\*\*/|\*\*|\*)", glob)) + "$")


def is_within(path: str, globs: Tuple[str, ...]) -> bool:
    return any(glob_pattern(glob).match(path) for glob in globs)


def parse_globs(text: str) -> Tuple[str, ...]:
    return tuple(glob.strip() for glob in text.split(",") if glob.strip())


def parse_entry(text: str, line: int, is_pending: bool) -> Entry:
    """Reads `WORD -> TERM | option=value | ..`."""
    subject, *options = text.split(OPTION_SEPARATOR)
    word, arrow, replacement = (part.strip() for part in subject.partition("->"))
    if not (word and arrow and replacement):
        raise ListError(f"{LIST_PATH}:{line}: expected WORD -> TERM")
    scope, only, exemptions = EVERYWHERE, [], []
    for option in options:
        key, _, value = option.strip().partition("=")
        if key == "in" and value in (NAMES, TYPES):
            scope = value
        elif key == "only" and value:
            only += parse_globs(value)
        elif key == "allowed" and REASON_SEPARATOR in value:
            globs, _, reason = value.partition(REASON_SEPARATOR)
            exemptions += [Exemption(glob, reason.strip()) for glob in parse_globs(globs)]
        else:
            raise ListError(f"{LIST_PATH}:{line}: can't read the option {option.strip()!r}")
    return Entry(word, replacement, scope, tuple(only), tuple(exemptions), line, is_pending)


def parse_list(text: str) -> List[Entry]:
    entries: Dict[str, Entry] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        pending = PENDING_LINE.match(line)
        if not line.strip() or line.startswith("#") and not pending:
            continue
        entry = parse_entry(line[pending.end():] if pending else line, number, pending is not None)
        if entry.word in entries:
            raise ListError(f"{LIST_PATH}:{number}: {entry.word} stands on line {entries[entry.word].line} already")
        entries[entry.word] = entry
    return list(entries.values())


def code_of(path: str, text: str) -> str:
    """The text without comments and strings; nothing of a file that isn't code."""
    if Path(path).suffix in CPP_SUFFIXES:
        return CPP_COMMENT_OR_STRING.sub(lambda match: blank(match.group()), text)
    if Path(path).suffix == ".py":
        return PYTHON_COMMENT_OR_STRING.sub(lambda match: blank(match.group()), text)
    return ""


class WordChecker:
    """Looks for the words of a list in texts and file names."""

    def __init__(self, entries: List[Entry]):
        self.entries = entries
        self.by_first_part: Dict[str, List[Entry]] = defaultdict(list)
        for entry in entries:
            if entry.scope != TYPES and entry.parts:
                self.by_first_part[entry.parts[0]].append(entry)
        self.types = {entry.word: entry for entry in entries if entry.scope == TYPES}
        self.patterns = [(entry, entry.pattern) for entry in entries if entry.scope == EVERYWHERE and entry.pattern]
        self.known_names: Dict[str, List[Entry]] = {}
        self.findings: List[Finding] = []
        self.used_exemptions: Counter = Counter()

    def matches_of(self, name: str) -> List[Entry]:
        """The words that a name contains; each name is looked at once."""
        if name not in self.known_names:
            parts = parts_of(name)
            self.known_names[name] = [entry for start, part in enumerate(parts)
                                      for entry in self.by_first_part.get(part, [])
                                      if parts[start:start + len(entry.parts)] == entry.parts]
        return self.known_names[name]

    def report(self, path: str, line: int, name: str, entry: Entry) -> None:
        if entry.only and not is_within(path, entry.only):
            return
        exempting = [exemption for exemption in entry.exemptions if is_within(path, (exemption.glob,))]
        self.used_exemptions.update((entry.word, exemption.glob) for exemption in exempting)
        if not exempting:
            self.findings.append(Finding(path, line, name, entry))

    def check_path(self, path: str) -> None:
        for name in NAME.findall(path):
            for entry in self.matches_of(name):
                self.report(path, 0, name, entry)

    def check_names(self, path: str, text: str, scopes: Tuple[str, ...]) -> None:
        for match in NAME.finditer(text):
            for entry in self.matches_of(match.group()):
                if entry.scope in scopes:
                    self.report(path, line_of(text, match.start()), match.group(), entry)

    def check_types(self, path: str, code: str) -> None:
        for match in re.finditer(r"\b(?:" + "|".join(map(re.escape, self.types)) + r")\b", code):
            self.report(path, line_of(code, match.start()), match.group(), self.types[match.group()])

    def check_patterns(self, path: str, text: str) -> None:
        for entry, pattern in self.patterns:
            for match in pattern.finditer(text):
                is_one_name = entry.parts and NAME.fullmatch(match.group())
                if not is_one_name:  # a name was found as one
                    self.report(path, line_of(text, match.start()), " ".join(match.group().split()), entry)

    def check_text(self, path: str, text: str) -> None:
        code = code_of(path, text)
        if self.types and Path(path).suffix in CPP_SUFFIXES:
            self.check_types(path, code)
        self.check_names(path, code, (NAMES,))
        text = ESCAPE.sub("  ", text)
        self.check_names(path, text, (EVERYWHERE,))
        self.check_patterns(path, text)

    def needless_exemptions(self) -> Iterator[str]:
        for entry in self.entries:
            for exemption in entry.exemptions:
                if not self.used_exemptions[(entry.word, exemption.glob)]:
                    yield f"{LIST_PATH}:{entry.line}: {entry.word} isn't in {exemption.glob}: take the exception out"


def check_tree(root: Path, entries: List[Entry]) -> WordChecker:
    checker = WordChecker(entries)
    for file in files_under(root):
        path = file.relative_to(root).as_posix()
        if LEFT_OUT.match(path):
            continue
        checker.check_path(path)
        content = file.read_bytes()
        if b"\0" not in content:
            checker.check_text(path, content.decode(errors="replace"))
    return checker


def print_findings(checker: WordChecker) -> int:
    for finding in sorted(checker.findings, key=lambda finding: (finding.path, finding.line, finding.name)):
        place = f"{finding.path}:{finding.line}" if finding.line else f"{finding.path}: file name"
        print(f"{place}: {finding.name}: {finding.entry.word} is withdrawn, use {finding.entry.replacement}")
    complaints = list(checker.needless_exemptions())
    for complaint in complaints:
        print(complaint)
    return 1 if checker.findings or complaints else 0


def print_pending(checker: WordChecker) -> None:
    found = Counter(finding.entry.word for finding in checker.findings)
    files = Counter(word for word, _ in {(finding.entry.word, finding.path) for finding in checker.findings})
    for entry in checker.entries:
        print(f"{found[entry.word]:6} in {files[entry.word]:4} files  {entry.word} -> {entry.replacement}")


def main(arguments: List[str]) -> int:
    parser = argparse.ArgumentParser(description="Checks that withdrawn words don't come back.")
    parser.add_argument("--pending", action="store_true", help="count what is left of the pending words")
    parser.add_argument("root", nargs="?", type=Path, default=Path(__file__).resolve().parent.parent)
    options = parser.parse_args(arguments)
    try:
        entries = parse_list((options.root / LIST_PATH).read_text())
    except ListError as error:
        print(error, file=sys.stderr)
        return 2
    checker = check_tree(options.root, [entry for entry in entries if entry.is_pending == options.pending])
    if options.pending:
        print_pending(checker)
        return 0
    return print_findings(checker)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
