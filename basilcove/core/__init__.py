"""Typed core: ids, events, the reducer and its runtime."""
