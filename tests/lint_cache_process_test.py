"""tools/lint-cache passes over a source only if nothing that decides the linter's
verdict has changed since it was clean."""

import importlib.machinery
import importlib.util
import os
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True


def load_tool():
    path = os.path.join(HERE, "..", "tools", "lint-cache")
    loader = importlib.machinery.SourceFileLoader("lint_cache", path)
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("lint_cache", loader))
    loader.exec_module(module)
    return module


class LintCacheTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(self.folder.name)
        self.write("a.cc", "int a;")
        self.write("a.h", "int b;")
        self.write(".clang-tidy", "Checks: x")
        self.command = "g++ -c a.cc"
        self.checked = []
        self.is_clean = True

    def write(self, name, text):
        pathlib.Path(name).write_text(text)

    def check(self, _, source):
        self.checked.append(source)
        return self.is_clean

    def lint(self):
        """Runs the tool as a new process would; returns whether it checked the source."""
        tool = load_tool()
        tool.CACHE = pathlib.Path("cache")
        tool.compile_commands = lambda _: {"a.cc": self.command}
        tool.headers_by_source = lambda _: {"a.cc": ["a.h"]}
        tool.check = self.check
        before = len(self.checked)
        with mock.patch.object(sys, "argv", ["lint-cache", "build", "1", "a.cc"]):
            tool.main()
        return len(self.checked) > before

    def test_a_clean_source_is_checked_once(self):
        self.assertTrue(self.lint())
        self.assertFalse(self.lint())

    # Guards against a finding that the next run no longer shows.
    def test_a_source_with_findings_is_checked_each_time(self):
        self.is_clean = False
        self.assertTrue(self.lint())
        self.assertTrue(self.lint())

    # Guards against findings that a change elsewhere brings.
    def test_whatever_decides_the_verdict_has_it_checked_again(self):
        self.lint()
        for name in ("a.cc", "a.h", ".clang-tidy"):
            self.write(name, "something else")
            self.assertTrue(self.lint(), name)
            self.assertFalse(self.lint(), name)
        self.command += " -Wall"
        self.assertTrue(self.lint())


if __name__ == "__main__":
    unittest.main(verbosity=2)
