"""Test the table of result codes."""

import unittest

from catkinknot.model import CODE_TABLE, ResultCode


class TestCodeTable(unittest.TestCase):
    """Check that the table is complete."""

    def test_every_code_has_an_entry(self):
        """Each code stands in the table once."""
        self.assertEqual(set(CODE_TABLE), set(ResultCode))
