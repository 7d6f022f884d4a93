"""Calls that fall to one node at a time, made by the ledger's leader."""
