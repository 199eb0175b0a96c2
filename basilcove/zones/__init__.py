"""Evacuations of availability zones."""
