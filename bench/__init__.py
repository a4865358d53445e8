"""Measurements that give the figures of the design pages."""
