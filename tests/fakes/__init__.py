"""Fakes of the external systems that docs/PROTOCOLS.md specifies, one process each.

They are built on ``aiohttp.web``, an HTTP implementation that the daemons don't use, so
that a bug in the daemons' parser or framing isn't hidden by the same bug here.
"""
