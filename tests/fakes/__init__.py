"""Stand-ins for the outside systems of docs/PROTOCOLS.md, each a process of its own.

They are built on ``aiohttp.web``, an HTTP implementation that the daemon doesn't use:
a fault in the daemon's parser or framing can't hide behind the same fault here.
"""
