"""Measure the decisions and the running system."""
