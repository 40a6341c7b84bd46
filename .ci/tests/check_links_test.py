"""Tests of the check of links and paths, on small trees with planted references that lead nowhere."""

import contextlib
import io
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import check_links  # noqa: E402


class TreeTest(unittest.TestCase):
    """A test on trees of files, each given as the file's name with its text."""

    def problems_of(self, files):
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            for name, text in files.items():
                file = root / name
                file.parent.mkdir(parents=True, exist_ok=True)
                file.write_text(text)
            return [f"{problem.file.relative_to(root)}:{problem.line}: {problem.message}"
                    for problem in check_links.check_tree(root)]


class Links(TreeTest):
    def test_relative_links_lead_from_the_folder_of_their_page(self):
        files = {"README.md": "[design](docs/design.md)", "docs/design.md": "\n\n[back](../README.md) [gone](parts/a.md)"}
        self.assertEqual(["docs/design.md:3: no such file: parts/a.md"], self.problems_of(files))

    def test_links_by_reference_and_images_count(self):
        files = {"README.md": "[a][one] ![b](b.png)\n\n[one]: a.txt\n"}
        self.assertEqual(["README.md:1: no such file: b.png", "README.md:3: no such file: a.txt"],
                         self.problems_of(files))

    def test_links_to_other_hosts_are_not_followed(self):
        files = {"README.md": "[a](https://example.org/docs/gone.md) [b](mailto:a@example.org)"}
        self.assertEqual([], self.problems_of(files))

    def test_code_holds_no_links(self):
        files = {"README.md": "`list[0](x)`\n\n```\n[a](gone)\n```\n"}
        self.assertEqual([], self.problems_of(files))


class Anchors(TreeTest):
    def test_an_anchor_needs_its_heading(self):
        files = {"README.md": "[a](#one-step) [b](docs/a.md#two) [c](docs/a.md#three)\n\n## One step\n",
                 "docs/a.md": "# Two\n\n```\n# three\n```\n"}
        self.assertEqual(["README.md:1: no heading for the anchor #three in a.md"], self.problems_of(files))

    def test_marks_are_left_out_and_repeated_headings_numbered(self):
        page = "# The map (`placement-map`)\n## What fails\n## What fails\n<a id=\"by-hand\"></a>\n"
        self.assertEqual({"the-map-placement-map", "what-fails", "what-fails-1", "by-hand"},
                         check_links.anchors_of(page))

    def test_a_named_page_with_an_anchor_needs_the_heading(self):
        files = {"README.md": "See docs/a.md#gone.", "docs/a.md": "# Two\n"}
        self.assertEqual(["README.md:1: no heading for the anchor #gone in a.md"], self.problems_of(files))


class Paths(TreeTest):
    def test_paths_named_in_prose_and_code_exist(self):
        files = {"README.md": "See `docs/a.md`, packages/x/src/main.cpp and platform/b.cpp.\n\n    .ci/gone build\n",
                 "docs/a.md": "", "packages/x/src/main.cpp": ""}
        self.assertEqual(["README.md:1: no such path: platform/b.cpp", "README.md:3: no such path: .ci/gone"],
                         self.problems_of(files))

    def test_patterns_and_choices_need_a_file_each(self):
        files = {"README.md": "platform/a.* platform/{a,b}.cpp platform/c*", "platform/a.cpp": ""}
        self.assertEqual(["README.md:1: no such path: platform/b.cpp", "README.md:1: no such path: platform/c*"],
                         self.problems_of(files))

    def test_paths_below_another_folder_are_not_the_repositorys(self):
        self.assertEqual([], self.problems_of({"README.md": "KIT/docs/gone.md build/packages/gone"}))

    def test_a_page_named_without_its_folder_exists_beside_or_in_docs(self):
        files = {"README.md": "design.md", "docs/design.md": "README.md gone.md"}
        self.assertEqual(["docs/design.md:1: no such page: gone.md"], self.problems_of(files))

    def test_sources_name_pages_that_exist(self):
        files = {"packages/x/a.hpp": "// One.\n// docs/a.md says why.\n", "CMakeLists.txt": "# docs/b.md\n",
                 "docs/b.md": ""}
        self.assertEqual(["packages/x/a.hpp:2: no such path: docs/a.md"], self.problems_of(files))

    def test_builds_and_records_are_left_out(self):
        files = {"build-asan/README.md": "docs/gone.md", "journal/a.md": "docs/gone.md"}
        self.assertEqual([], self.problems_of(files))


class CitedSections(TreeTest):
    PAGE = "# Design\n## Freshness (`grants`)\n- **Giving up** is at once.\n"

    def test_a_cited_section_is_a_heading_or_a_title_in_bold(self):
        files = {"README.md": "docs/design.md, \"Freshness\"; docs/design.md, \"Giving\nup\"; docs/design.md, \"Edits\"",
                 "docs/design.md": self.PAGE}
        self.assertEqual(["README.md:2: no section \"Edits\" in docs/design.md"], self.problems_of(files))

    def test_a_citation_may_go_on_in_the_comments_next_line(self):
        files = {"a.hpp": "// docs/design.md,\n// \"Giving\n// up\", says why; docs/design.md, \"Old\n// name\".\n",
                 "docs/design.md": self.PAGE}
        self.assertEqual(["a.hpp:3: no section \"Old name\" in docs/design.md"], self.problems_of(files))


class Program(unittest.TestCase):
    def test_ends_with_1_where_a_reference_leads_nowhere(self):
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder, "README.md")
            page.write_text("[a](gone.txt)")
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                self.assertEqual(1, check_links.main([folder]))
            self.assertEqual("README.md:1: no such file: gone.txt\n", output.getvalue())
            page.write_text("")
            self.assertEqual(0, check_links.main([folder]))


if __name__ == "__main__":
    unittest.main()
