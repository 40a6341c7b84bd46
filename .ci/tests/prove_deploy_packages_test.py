"""Tests of the proof that the deploy file lists all packages, on a made-up database of packages."""

import os
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import prove_deploy_packages as proof  # noqa: E402


def database(*packages):
    """A database of (name, dependencies, provided names)."""
    entries = {name: proof.Package(name, False, proof.parse_relations(depends), provides)
               for name, depends, provides in packages}
    providers = {}
    for package in entries.values():
        for virtual in package.provides:
            providers.setdefault(virtual, []).append(package.name)
    return proof.Database(entries, providers)


class Relations(unittest.TestCase):
    def test_versions_architectures_and_alternatives(self):
        self.assertEqual([["libc6"], ["debconf", "cdebconf"], ["perl"]],
                         proof.parse_relations("libc6 (>= 2.36), debconf (>= 0.5) | cdebconf, perl:any"))
        self.assertEqual([], proof.parse_relations(""))


class Closure(unittest.TestCase):
    def test_follows_dependencies_of_dependencies(self):
        packages = database(("a", "b", []), ("b", "c", []), ("c", "", []), ("d", "", []))
        self.assertEqual({"a", "b", "c"}, proof.closure(["a"], packages))

    def test_ends_where_packages_depend_on_each_other(self):
        packages = database(("a", "b", []), ("b", "a", []))
        self.assertEqual({"a", "b"}, proof.closure(["a"], packages))

    def test_takes_the_first_installed_alternative_alone(self):
        packages = database(("a", "gone | b | c", []), ("b", "", []), ("c", "", []))
        self.assertEqual({"a", "b"}, proof.closure(["a"], packages))

    def test_takes_no_alternative_where_one_is_there_already(self):
        packages = database(("a", "b | c", []), ("b", "", []), ("c", "", []))
        self.assertEqual({"a", "c"}, proof.closure(["a", "c"], packages))

    def test_takes_a_provider_of_a_virtual_package(self):
        packages = database(("a", "awk", []), ("mawk", "", ["awk"]))
        self.assertEqual({"a", "mawk"}, proof.closure(["a"], packages))


class Coverage(unittest.TestCase):
    def test_a_file_of_no_package_or_of_another_one_is_uncovered(self):
        owners = {"/x": {"a"}, "/y": {"b"}, "/z": set()}
        self.assertEqual(["/y", "/z"], proof.uncovered(owners, {"a"}))

    def test_an_entry_that_no_file_needs_is_no_entry(self):
        packages = database(("used", "", []), ("idle", "used", []))
        proof_of = proof.judge_needless_entry
        original, proof.has_content = proof.has_content, lambda package: True
        self.addCleanup(setattr, proof, "has_content", original)
        self.assertIsNone(proof_of("idle", ["used"], {"used"}, packages))
        self.assertEqual("idle depends on used", proof_of("used", ["idle"], {"used"}, packages))

    def test_a_metapackage_stands_for_what_it_depends_on(self):
        packages = database(("meta", "real", []), ("real", "", []), ("other", "real", []))
        original, proof.has_content = proof.has_content, lambda package: package != "meta"
        self.addCleanup(setattr, proof, "has_content", original)
        self.assertEqual("other depends on real", proof.judge_needless_entry("meta", ["other"], {"real"}, packages))


class Links(unittest.TestCase):
    def test_every_link_on_the_way_counts(self):
        with tempfile.TemporaryDirectory() as folder:
            root = os.path.realpath(folder)
            Path(root, "file").write_text("")
            os.symlink("file", os.path.join(root, "middle"))
            os.symlink(os.path.join(root, "middle"), os.path.join(root, "first"))
            self.assertEqual([os.path.join(root, name) for name in ["first", "middle", "file"]],
                             proof.link_chain(os.path.join(root, "first")))


if __name__ == "__main__":
    unittest.main()
