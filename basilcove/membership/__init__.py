"""Announcement and admission of upstreams."""
