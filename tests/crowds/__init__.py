"""Tests of crowds of clients that keep to no limit.

Each test has a gateway process, a store and an endpoint of its own, and runs
apart from all other tests, as it checks the memory of that process.
"""
