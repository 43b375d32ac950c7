"""Measures of the planners, in simulations, and of a running deployment."""
