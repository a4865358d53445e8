"""Durations of the instances' leases in the platform's store."""

from .durations import LeaseTerms, choose_terms, is_claimant

__all__ = ["LeaseTerms", "choose_terms", "is_claimant"]
