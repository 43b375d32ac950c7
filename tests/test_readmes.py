"""Run the example in each library's README."""

import contextlib
import io
import re
import unittest
from pathlib import Path

LIBS = Path(__file__).resolve().parent.parent / "libs"


class TestReadmes(unittest.TestCase):
    """Examples in the READMEs."""

    def test_examples(self):
        """Every example prints output and raises no exception."""
        for page in sorted(LIBS.glob("*/README.md")):
            with self.subTest(page.parent.name):
                code = re.search(r"```python\n(.*?)```", page.read_text(), re.DOTALL).group(1)
                out = io.StringIO()
                with contextlib.redirect_stdout(out):
                    exec(compile(code, str(page), "exec"), {})
                self.assertTrue(out.getvalue().strip())
