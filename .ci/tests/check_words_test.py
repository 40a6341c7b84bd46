"""Tests of the check of withdrawn words, on made-up words planted in small trees."""

import contextlib
import io
import sys
import tempfile
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import check_words  # noqa: E402

SOURCE = "packages/x/src/a.cpp"


class TreeTest(unittest.TestCase):
    """A test on a list of words and a tree of files, each given as the file's name with its text."""

    def run_on(self, words, files, arguments=()):
        """The exit code and the lines that the program prints."""
        with tempfile.TemporaryDirectory() as folder:
            for name, text in {check_words.LIST_PATH: words, **files}.items():
                file = Path(folder, name)
                file.parent.mkdir(parents=True, exist_ok=True)
                file.write_bytes(text if isinstance(text, bytes) else text.encode())
            output = io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
                code = check_words.main([*arguments, folder])
            return code, output.getvalue().splitlines()

    def assert_found(self, words, text, names, path=SOURCE):
        """Checks which names of a text are reported, in the order of their lines."""
        code, lines = self.run_on(words, {path: text})
        self.assertEqual(names, [line.split(": ")[1] for line in lines])
        self.assertEqual(1 if names else 0, code)


class Matching(TreeTest):
    def test_names_are_split_at_underscores_hyphens_and_changes_of_case(self):
        text = "EditGrib\nfirst_grib\ngribOfTwo\nGRIB_MAX\ngrib2\nHTTPGrib\ngrib-test\n_grib_\n"
        names = ["EditGrib", "first_grib", "gribOfTwo", "GRIB_MAX", "grib2", "HTTPGrib", "grib-test", "grib_"]
        self.assert_found("grib -> term", text, [name.rstrip("_") for name in names])

    def test_parts_of_other_words_are_no_match(self):
        self.assert_found("grib -> term", "gribs agrib gribble Gribbled angrib_ed\n", [])

    def test_the_word_itself_may_be_written_in_any_case(self):
        self.assert_found("EditGrib -> EditRequest", "edit_grib\nonEditGrib\nedit grib\ngrib_edit\n",
                          ["edit_grib", "onEditGrib"])

    def test_several_parts_stand_side_by_side(self):
        self.assert_found("take_grib -> drain", "take_the_grib\ntake_grib_now\nTakeGrib\n",
                          ["take_grib_now", "TakeGrib"])

    def test_comments_strings_and_escapes_count(self):
        self.assert_found("grib -> term", "int a;  // the grib's\nauto b = \"no grib\";\nauto c = \"\\ngrib\";\n",
                          ["grib", "grib", "grib"])

    def test_words_with_a_space_match_in_texts_too(self):
        text = "grib table\nGrib-table\ngrib_table\n// the grib\n// table\ngribtable\n"
        self.assert_found("grib table -> route table", text, ["grib table", "Grib-table", "grib_table", "grib // table"])

    def test_a_regular_expression_matches_as_written(self):
        self.assert_found(r"regex:\bgrib\(\w+\) -> drain()", "grib(now)\nGrib(now)\ngrib()\n", ["grib(now)"])

    def test_names_of_files_and_folders_count(self):
        code, lines = self.run_on("grib -> term", {"packages/grib-table/a.hpp": "", "docs/grib.md": "", "b.bin": ""})
        self.assertEqual(["docs/grib.md: file name: grib: grib is withdrawn, use term",
                          "packages/grib-table/a.hpp: file name: grib-table: grib is withdrawn, use term"], lines)
        self.assertEqual(1, code)

    def test_file_line_and_term_are_printed(self):
        code, lines = self.run_on("grib -> term", {SOURCE: "\n\nint my_grib;\n"})
        self.assertEqual([f"{SOURCE}:3: my_grib: grib is withdrawn, use term"], lines)


class Scopes(TreeTest):
    def test_names_alone(self):
        text = "int grib;  // a grib\nauto a = \"grib\"; auto b = R\"x(grib)x\"; auto c = 1'000'000; int other_grib;\n"
        words = "grib -> term | in=names"
        self.assert_found(words, text, ["grib", "other_grib"])
        self.assert_found(words, "grib = 'grib'  # grib\n\"\"\"grib\"\"\"\n", ["grib"], path="tools/a.py")
        self.assert_found(words, "The grib `grib`.\n", [], path="docs/a.md")

    def test_types_alone_as_they_are_written(self):
        text = "Grib a; std::grib<int> b; SmallGrib c; grib_type d;  // Grib of the line\nusing G = x::Grib;\n"
        self.assert_found("Grib -> Duration | in=types", text, ["Grib", "Grib"])

    def test_only_some_packages(self):
        files = {"packages/x/src/a.cpp": "grib", "packages/y/src/a.cpp": "grib", "docs/a.md": "grib"}
        code, lines = self.run_on("grib -> term | only=packages/x/**,docs/*.md", files)
        self.assertEqual(["docs/a.md", "packages/x/src/a.cpp"], [line.split(":")[0] for line in lines])

    def test_exceptions(self):
        files = {"packages/x/src/a.cpp": "grib", "packages/x/b.cpp": "grib", "docs/a.md": "grib"}
        words = "grib -> term | allowed=packages/x/** because it is the wire's name | allowed=docs/b.md because of that"
        code, lines = self.run_on(words, files)
        self.assertEqual(["docs/a.md:1: grib: grib is withdrawn, use term",
                          f"{check_words.LIST_PATH}:1: grib isn't in docs/b.md: take the exception out"], lines)
        self.assertEqual(1, code)

    def test_the_users_names_the_glossary_and_history_are_left_out(self):
        for path in ["platform/a.cpp", "platform/grib/b.cpp", "docs/glossary.md", "docs/trials.md",
                     "docs/incidents/grib.md", "journal/grib.json", "build/grib.cpp"]:
            self.assert_found("grib -> term", "grib\n", [], path=path)
        for path in ["README.md", "deploy/a.toml", ".ci/a.py", "docs/platform.md", "packages/platform/a.cpp"]:
            self.assert_found("grib -> term", "grib\n", ["grib"], path=path)

    def test_binary_files_are_read_past(self):
        self.assert_found("grib -> term", b"\0grib\xff", [], path="packages/x/a.bin")
        self.assert_found("grib -> term", b"\xff grib", ["grib"], path="packages/x/a.txt")


class WordList(TreeTest):
    def test_comments_and_pending_words_are_no_withdrawn_words(self):
        self.assert_found("# grib -> term\n\n#grib -> term\n", "grib\n", [])

    def test_pending_words_are_counted(self):
        files = {SOURCE: "grib\nbold_grib\n", "docs/a.md": "grib"}
        code, lines = self.run_on("#grib -> term\n#blorp -> other\ngone -> x\n", files, ["--pending"])
        self.assertEqual((0, ["     3 in    2 files  grib -> term", "     0 in    0 files  blorp -> other"]),
                         (code, lines))

    def test_a_line_that_cannot_be_read_fails(self):
        for words in ["grib", "grib ->", "-> term", "grib -> term | allowed=docs/**", "grib -> term | in=comments",
                      "grib -> term\ngrib -> other"]:
            code, lines = self.run_on(words, {})
            self.assertEqual(2, code, words)
            self.assertTrue(lines[0].startswith(check_words.LIST_PATH + ":"), lines)

    def test_the_repositorys_list_is_read_in_time(self):
        root = Path(check_words.__file__).resolve().parent.parent
        entries = check_words.parse_list((root / check_words.LIST_PATH).read_text())
        self.assertTrue(entries)
        start = time.process_time()
        check_words.check_tree(root, entries)
        self.assertLess(time.process_time() - start, 5)


if __name__ == "__main__":
    unittest.main()
