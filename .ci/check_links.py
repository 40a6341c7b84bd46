#!/usr/bin/env python3
"""Checks that what the pages refer to exists.

Usage: check_links.py [ROOT]    the repository's root; by default the one that this script lies in

Checked in every Markdown file: relative links with their anchors, paths of the repository that are named in the text
(`docs/design.md`, `platform/settings.*`), other pages named without their folder (`design.md`), and sections cited as
`docs/design.md, "Freshness"`. In comments and strings of sources: pages under docs/ and their cited sections.
Prints file, line and target of each reference that leads nowhere, and ends with 1 if there is one.
"""

import re
import sys
from pathlib import Path
from typing import Iterator, List, NamedTuple, Set
from urllib.parse import unquote

from repository_files import blank, files_under, line_of

SOURCE_SUFFIXES = {".cpp", ".hpp", ".py", ".toml"}
SOURCE_NAMES = {"CMakeLists.txt"}

INLINE_LINK = re.compile(r"\[[^\]]*\]\(\s*<?([^\s)>]+)>?(?:\s+\"[^\"]*\")?\s*\)")
LINK_DEFINITION = re.compile(r"^ {0,3}\[[^\]]+\]:\s*<?([^\s>]+)>?", re.MULTILINE)
EXTERNAL_TARGET = re.compile(r"[a-zA-Z][a-zA-Z0-9+.-]*:|//")
FENCED_CODE = re.compile(r"^ {0,3}(```|~~~).*?^ {0,3}\1[^\n]*$", re.MULTILINE | re.DOTALL)
CODE_SPAN = re.compile(r"(`+)(?!`).+?(?<!`)\1(?!`)", re.DOTALL)
HEADING = re.compile(r"^ {0,3}#{1,6}\s+(.*?)\s*#*\s*$", re.MULTILINE)
EXPLICIT_ANCHOR = re.compile(r"<a\s+(?:id|name)=\"([^\"]+)\"")
BOLD_TITLE = re.compile(r"^[ \t]*(?:[-*][ \t]+)?\*\*([^*\n]+)\*\*", re.MULTILINE)
HEADING_LINK = re.compile(r"\[([^\]]*)\]\([^)]*\)")

PATH_CHARACTERS = r"(?:[\w./*-]|\{[\w,.*-]+\})*"
REPOSITORY_PATH = re.compile(
    r"(?<![\w./-])((?:docs|packages|platform|deploy|journal|\.ci)/" + PATH_CHARACTERS + r")(#[\w-]+)?")
PAGE_PATH = re.compile(r"(?<![\w./-])(docs/" + PATH_CHARACTERS + r"\.md)\b(#[\w-]+)?")
BARE_PAGE = re.compile(r"(?<![\w./*-])([\w-]+\.md)\b")
CITED_SECTION = re.compile(r"(?<![\w./-])(docs/[\w./-]+\.md)`?,\s+\"([^\"]+)\"")
COMMENT_CONTINUATION = re.compile(r"\n[ \t]*(?://+|#)(?=[ \t])")


class Problem(NamedTuple):
    """A reference that leads nowhere."""

    file: Path
    line: int
    message: str


class Reference(NamedTuple):
    """A target named in a text, with the offset at which it stands."""

    offset: int
    target: str
    anchor: str


def blank_out(pattern: re.Pattern, text: str) -> str:
    """The text with each match replaced by spaces, so that offsets and lines stay."""
    return pattern.sub(lambda match: blank(match.group()), text)


def heading_texts(page: str) -> List[str]:
    """The headings as they are read: without links and code marks."""
    headings = HEADING.findall(blank_out(FENCED_CODE, page))
    return [HEADING_LINK.sub(r"\1", heading).replace("`", "").replace("*", "") for heading in headings]


def section_titles(page: str) -> List[str]:
    """The headings, and what opens a paragraph or list entry in bold."""
    return heading_texts(page) + BOLD_TITLE.findall(page)


def anchors_of(page: str) -> Set[str]:
    """The anchors of a page, formed from its headings as code hosts form them, and those set by hand."""
    anchors: Set[str] = set(EXPLICIT_ANCHOR.findall(page))
    for heading in heading_texts(page):
        slug = re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-")
        anchor, repeat = slug, 0
        while anchor in anchors:
            repeat += 1
            anchor = f"{slug}-{repeat}"
        anchors.add(anchor)
    return anchors


def expand_braces(path: str) -> List[str]:
    """`a.{cpp,hpp}` as `a.cpp` and `a.hpp`."""
    match = re.search(r"\{([^}]*)\}", path)
    if match is None:
        return [path]
    return [expanded for choice in match.group(1).split(",")
            for expanded in expand_braces(path[:match.start()] + choice + path[match.end():])]


def path_exists(directory: Path, path: str) -> bool:
    if "*" in path:
        return any(directory.glob(path.rstrip("/")))
    return (directory / path).exists()


def links_of(page: str) -> Iterator[Reference]:
    """The relative links outside code."""
    prose = blank_out(CODE_SPAN, blank_out(FENCED_CODE, page))
    for pattern in (INLINE_LINK, LINK_DEFINITION):
        for match in pattern.finditer(prose):
            if EXTERNAL_TARGET.match(match.group(1)):
                continue
            target, _, anchor = match.group(1).partition("#")
            yield Reference(match.start(1), unquote(target), unquote(anchor))


def paths_of(pattern: re.Pattern, text: str) -> Iterator[Reference]:
    """The repository's paths that the text names; a full stop or dash after one is the sentence's."""
    for match in pattern.finditer(text):
        path = re.sub(r"(?<!\*)[.-]+$", "", match.group(1))
        if "..." not in match.group(1):
            yield Reference(match.start(1), path, (match.group(2) or "").lstrip("#"))


class LinkChecker:
    """Looks up references from files under one root."""

    def __init__(self, root: Path):
        self.root = root
        self.problems: List[Problem] = []

    def check_anchor(self, file: Path, line: int, page: Path, anchor: str) -> None:
        if anchor and page.suffix == ".md" and anchor not in anchors_of(page.read_text()):
            self.problems.append(Problem(file, line, f"no heading for the anchor #{anchor} in {page.name}"))

    def check_links(self, file: Path, text: str) -> None:
        for link in links_of(text):
            line = line_of(text, link.offset)
            directory = self.root if link.target.startswith("/") else file.parent
            target = directory / link.target.lstrip("/") if link.target else file
            if not target.exists():
                self.problems.append(Problem(file, line, f"no such file: {link.target}"))
            else:
                self.check_anchor(file, line, target, link.anchor)

    def check_paths(self, file: Path, text: str, pattern: re.Pattern) -> None:
        for reference in paths_of(pattern, text):
            line = line_of(text, reference.offset)
            for path in expand_braces(reference.target):
                if not path_exists(self.root, path):
                    self.problems.append(Problem(file, line, f"no such path: {path}"))
                elif "*" not in path:
                    self.check_anchor(file, line, self.root / path, reference.anchor)

    def check_bare_pages(self, file: Path, text: str) -> None:
        for match in BARE_PAGE.finditer(text):
            name = match.group(1)
            if not any((directory / name).exists() for directory in (file.parent, self.root, self.root / "docs")):
                self.problems.append(Problem(file, line_of(text, match.start()), f"no such page: {name}"))

    def check_cited_sections(self, file: Path, text: str) -> None:
        for match in CITED_SECTION.finditer(text):
            page = self.root / match.group(1)
            cited = " ".join(match.group(2).split())
            if page.exists() and not any(title.startswith(cited) for title in section_titles(page.read_text())):
                message = f"no section \"{cited}\" in {match.group(1)}"
                self.problems.append(Problem(file, line_of(text, match.start()), message))

    def check_page(self, file: Path) -> None:
        text = file.read_text()
        self.check_links(file, text)
        self.check_paths(file, text, REPOSITORY_PATH)
        self.check_bare_pages(file, text)
        self.check_cited_sections(file, text)

    def check_source(self, file: Path) -> None:
        text = file.read_text()
        if "docs/" not in text:
            return
        self.check_paths(file, text, PAGE_PATH)
        joined = COMMENT_CONTINUATION.sub(lambda match: blank(match.group()), text)
        self.check_cited_sections(file, joined)


def check_tree(root: Path) -> List[Problem]:
    checker = LinkChecker(root)
    tests_of_checks = root / ".ci" / "tests"
    for file in files_under(root):
        if file.suffix == ".md":
            checker.check_page(file)
        elif tests_of_checks not in file.parents and (file.suffix in SOURCE_SUFFIXES or file.name in SOURCE_NAMES):
            checker.check_source(file)
    return sorted(set(checker.problems))


def main(arguments: List[str]) -> int:
    if len(arguments) > 1:
        print(__doc__, file=sys.stderr)
        return 2
    root = Path(arguments[0] if arguments else Path(__file__).resolve().parent.parent)
    problems = check_tree(root)
    for problem in problems:
        print(f"{problem.file.relative_to(root)}:{problem.line}: {problem.message}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
