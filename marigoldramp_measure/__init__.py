"""Experiments that drive the real decision code and write CSV and plots."""
