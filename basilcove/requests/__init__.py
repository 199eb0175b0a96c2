"""Requests and attempts at an entry."""
