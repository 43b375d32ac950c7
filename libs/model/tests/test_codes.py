"""Test the table of result codes."""

import unittest

from catkinknot.model import CODE_TABLE, ResultCode


class TestCodeTable(unittest.TestCase):
    """The table of result codes is complete."""

    def test_every_code_has_an_entry(self):
        """Every result code has an entry in the table, and no other code has one."""
        self.assertEqual(set(CODE_TABLE), set(ResultCode))
