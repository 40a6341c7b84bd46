#!/usr/bin/env python3
"""Proves that the Debian packages listed in the deploy file are all that its build needs.

Usage: prove_deploy_packages.py BUILD_DIR DEPLOY_FILE TARGET...

Collects every file outside the repository that the finished build of the targets in BUILD_DIR has used:
headers, CMake modules, what the linker opened, and the tools themselves. Each must belong to a package that a
minimal Debian installation has, or that is installed along with a listed package (no recommended packages).
Then takes each listed package out in turn: the proof must fail without it, or another listed package must
bring along the very package (or, for a metapackage, what it stands for) that the build uses. Ends with 1 and a line for each file or package that is at fault.
"""

import functools
import os
import re
import shlex
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Dict, Iterable, List, NamedTuple, Optional, Set

PACKAGE_FIELDS = ["Package", "Essential", "Priority", "Pre-Depends", "Depends", "Provides"]
FILE_LISTS = Path("/var/lib/dpkg/info")
TOOLS_IN_CMAKE_CACHE = ["CMAKE_COMMAND", "CMAKE_MAKE_PROGRAM", "CMAKE_CXX_COMPILER", "CMAKE_AR", "CMAKE_RANLIB",
                        "CMAKE_LINKER"]
TOOLS_OF_COMPILER = ["cc1plus", "collect2", "as", "ld"]
MOST_FILES_SHOWN = 5


class Package(NamedTuple):
    """An installed package; each dependency is the list of its alternatives, in the order of preference."""

    name: str
    in_base_system: bool
    dependencies: List[List[str]]
    provides: List[str]


class Database(NamedTuple):
    """The installed packages by name, and the installed packages that provide each virtual name."""

    packages: Dict[str, Package]
    providers: Dict[str, List[str]]


def output_of(command: List[str], directory: str = ".") -> str:
    return subprocess.run(command, cwd=directory, check=True, stdout=subprocess.PIPE, text=True).stdout


def bare_name(relation: str) -> str:
    """The package name of a relation such as `libc6:any (>= 2.36)`."""
    return re.split(r"[\s:(]", relation.strip(), maxsplit=1)[0]


def parse_relations(field: str) -> List[List[str]]:
    return [[bare_name(choice) for choice in entry.split("|")] for entry in field.split(",") if entry.strip()]


def read_database() -> Database:
    pattern = "\t".join("${%s}" % field for field in PACKAGE_FIELDS) + "\n"
    packages: Dict[str, Package] = {}
    providers: Dict[str, List[str]] = {}
    for line in output_of(["dpkg-query", "-W", "-f", pattern]).splitlines():
        name, essential, priority, pre_depends, depends, provided = line.split("\t")
        provides = [choices[0] for choices in parse_relations(provided)]
        dependencies = parse_relations(pre_depends) + parse_relations(depends)
        packages[name] = Package(name, essential == "yes" or priority == "required", dependencies, provides)
        for virtual in provides:
            providers.setdefault(virtual, []).append(name)
    return Database(packages, providers)


def choose(choices: List[str], chosen: Set[str], database: Database) -> List[str]:
    """The installed packages that fulfil a dependency: one already chosen if there is one, else the first."""
    candidates = []
    for choice in choices:
        candidates += [choice] if choice in database.packages else database.providers.get(choice, [])
    return [] if chosen.intersection(candidates) else candidates[:1]


def closure(roots: Iterable[str], database: Database) -> Set[str]:
    """The packages that are installed along with the roots, the roots among them."""
    chosen = set(roots)
    waiting = list(chosen)
    while waiting:
        for choices in database.packages[waiting.pop()].dependencies:
            for name in choose(choices, chosen, database):
                chosen.add(name)
                waiting.append(name)
    return chosen


@functools.lru_cache(maxsize=None)
def real_directory(directory: str) -> str:
    return os.path.realpath(directory)


def canonical(path: str) -> str:
    """The path with symbolic links resolved in its directory, but not in its last part."""
    directory, name = os.path.split(path)
    return os.path.join(real_directory(directory), name)


def read_file_owners() -> Dict[str, Set[str]]:
    owners: Dict[str, Set[str]] = {}
    for file_list in FILE_LISTS.glob("*.list"):
        package = file_list.stem.split(":")[0]
        for path in file_list.read_text().splitlines():
            owners.setdefault(canonical(path), set()).add(package)
    return owners


def link_chain(path: str) -> List[str]:
    """The path and all that it leads to through symbolic links: each of them must be there."""
    chain = [canonical(path)]
    while os.path.islink(chain[-1]):
        target = os.path.join(os.path.dirname(chain[-1]), os.readlink(chain[-1]))
        chain.append(canonical(target))
    return chain


def listed_packages(deploy_file: str) -> List[str]:
    return tomllib.loads(Path(deploy_file).read_text())["packages"]


def headers_used(build_dir: str) -> Set[str]:
    lines = output_of(["ninja", "-t", "deps"], build_dir).splitlines()
    return {line.strip() for line in lines if line.startswith("    ")}


def cmake_modules_used(build_dir: str) -> Set[str]:
    lines = output_of(["ninja", "-t", "query", "build.ninja"], build_dir).splitlines()
    paths = {re.sub(r"^\s+(\|{1,2} )?", "", line) for line in lines if line.startswith("    ")}
    return {path for path in paths if os.path.isabs(path)}


def files_linked(build_dir: str, target: str) -> Set[str]:
    """What the linker opens for the target, as told by its --trace while it links once more into a scratch file."""
    command = output_of(["ninja", "-t", "commands", target], build_dir).splitlines()[-1]
    output = re.search(r" -o (\S+)", command)
    if output is None or " -c " in command:
        sys.exit(f"{target}: no link command in {build_dir}")
    with tempfile.TemporaryDirectory() as scratch:
        traced = command.replace(output.group(0), f" -Wl,--trace -o {shlex.quote(scratch)}/linked", 1)
        lines = output_of(["sh", "-c", traced], build_dir).splitlines()
    # A member of an archive is told as `archive.a(member.o)` or `(archive.a)member.o`.
    paths = {re.sub(r"^\(([^)]+)\).*|\(.*\)$", r"\1", line) for line in lines}
    return {os.path.join(os.path.abspath(build_dir), path) for path in paths}


def tools_used(build_dir: str) -> Set[str]:
    cache = (Path(build_dir) / "CMakeCache.txt").read_text()
    entries = dict(re.findall(r"^(\w+):\w+=(.*)$", cache, re.MULTILINE))
    tools = {entries[name] for name in TOOLS_IN_CMAKE_CACHE}
    compiler = entries["CMAKE_CXX_COMPILER"]
    found = [output_of([compiler, f"-print-prog-name={name}"]).strip() for name in TOOLS_OF_COMPILER]
    return tools | {path if os.path.isabs(path) else output_of(["which", path]).strip() for path in found}


def files_used(build_dir: str, targets: List[str]) -> Set[str]:
    """Every file outside the repository that the build used, with the links that lead to it."""
    used = headers_used(build_dir) | cmake_modules_used(build_dir) | tools_used(build_dir)
    for target in targets:
        used |= files_linked(build_dir, target)
    own = tuple(os.path.realpath(root) + os.sep for root in (".", build_dir))
    absolute = {os.path.normpath(os.path.join(os.path.abspath(build_dir), path)) for path in used}
    outside = {path for path in absolute if not os.path.realpath(path).startswith(own)}
    return {step for path in outside for step in link_chain(path)}


def owners_of(paths: Set[str]) -> Dict[str, Set[str]]:
    """The packages that each path belongs to; links made by update-alternatives belong to none and are left out."""
    owners = read_file_owners()
    alternatives = os.path.realpath("/etc/alternatives") + os.sep
    made_by_alternatives = {path for path in paths
                            if path.startswith(alternatives)
                            or (os.path.islink(path) and os.readlink(path).startswith(alternatives))}
    return {path: owners.get(path, set()) for path in paths - made_by_alternatives}


def uncovered(owners: Dict[str, Set[str]], installed: Set[str]) -> List[str]:
    return sorted(path for path, packages in owners.items() if not packages & installed)


def show_uncovered(paths: List[str], owners: Dict[str, Set[str]]) -> None:
    for path in paths[:MOST_FILES_SHOWN]:
        print(f"  {path} is of {' or '.join(sorted(owners[path])) or 'no package'}")
    if len(paths) > MOST_FILES_SHOWN:
        print(f"  and {len(paths) - MOST_FILES_SHOWN} more")


def has_content(package: str) -> bool:
    """Whether the package installs anything but its own documentation; a metapackage does not."""
    lists = [*FILE_LISTS.glob(f"{package}.list"), *FILE_LISTS.glob(f"{package}:*.list")]
    paths = [path for file_list in lists for path in file_list.read_text().splitlines()]
    return any(not path.startswith("/usr/share/doc") and not os.path.isdir(path) for path in paths)


def stands_for(entry: str, database: Database) -> Set[str]:
    """The entry itself, or what it directly depends on if it is a metapackage."""
    if has_content(entry):
        return {entry}
    return {name for choices in database.packages[entry].dependencies for name in choose(choices, set(), database)}


def judge_needless_entry(entry: str, rest: List[str], used: Set[str], database: Database) -> Optional[str]:
    """Why the proof holds without the entry, or nothing if the build uses nothing of it."""
    content = stands_for(entry, database) & used
    bringers = [name for name in rest if content & closure([name], database)]
    if not content or not bringers:
        return None
    return f"{', '.join(bringers)} depends on {', '.join(sorted(content))}"


def check_each_entry_matters(listed: List[str], base: Set[str], owners: Dict[str, Set[str]],
                             database: Database) -> bool:
    """Whether the proof fails without each listed package that no other listed package brings along."""
    used = set().union(*owners.values())
    all_matter = True
    for removed in listed:
        rest = [name for name in listed if name != removed]
        missing = uncovered(owners, closure(base.union(rest), database))
        if missing:
            print(f"without {removed}: fails, {len(missing)} files are of no package, such as {missing[0]}")
            continue
        reason = judge_needless_entry(removed, rest, used, database)
        all_matter = all_matter and reason is not None
        print(f"without {removed}: {f'holds, as {reason}' if reason else 'HOLDS: the build uses nothing of it'}")
    return all_matter


def main() -> int:
    if len(sys.argv) < 4:
        print(__doc__, file=sys.stderr)
        return 2
    build_dir, deploy_file, *targets = sys.argv[1:]
    database = read_database()
    listed = listed_packages(deploy_file)
    not_installed = [name for name in listed if name not in database.packages]
    if not_installed:
        print(f"listed in {deploy_file}, but not installed: {', '.join(not_installed)}")
        return 1
    owners = owners_of(files_used(build_dir, targets))
    base = {package.name for package in database.packages.values() if package.in_base_system}
    missing = uncovered(owners, closure(base.union(listed), database))
    print(f"{len(owners)} files used by the build, {len(missing)} of no package in {deploy_file}")
    show_uncovered(missing, owners)
    entries_matter = check_each_entry_matters(listed, base, owners, database)
    return 0 if not missing and entries_matter else 1


if __name__ == "__main__":
    sys.exit(main())
