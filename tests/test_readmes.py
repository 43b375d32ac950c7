"""Run the example on each library's page."""

import contextlib
import io
import re
import unittest
from pathlib import Path

LIBS = Path(__file__).resolve().parent.parent / "libs"


class TestReadmes(unittest.TestCase):
    """Check that the examples run."""

    def test_examples(self):
        """Every example prints something and raises nothing."""
        for page in sorted(LIBS.glob("*/README.md")):
            with self.subTest(page.parent.name):
                code = re.search(r"```python\n(.*?)```", page.read_text(), re.DOTALL).group(1)
                out = io.StringIO()
                with contextlib.redirect_stdout(out):
                    exec(compile(code, str(page), "exec"), {})
                self.assertTrue(out.getvalue().strip())
