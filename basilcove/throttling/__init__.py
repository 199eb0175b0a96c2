"""Divides the limit on requests that an upstream states among gateways."""
