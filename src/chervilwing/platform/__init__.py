"""Adapter to the users' platform; it only translates names and formats."""
