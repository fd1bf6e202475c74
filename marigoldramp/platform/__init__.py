"""Translates between the users' platform and the gateway; decides nothing.

Names of the wire stand in this package only.  Where the platform's word is
not the project's, the comment beside it says what it holds.
"""
