"""Run real instances for a while under faults from outside, and check what they promise."""
