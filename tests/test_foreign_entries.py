"""Malformed registrations and instance records written by other programs."""

import json
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from chervilwing.coordination import decode_peer
from chervilwing.exceptions import BadConfiguration
from chervilwing.models import Address
from chervilwing.platform.documents import read_registration
from chervilwing.registrations import Registration

KEY = "servers/i-1"
ENTRY = {
    "service": "web",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "phase": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
}
REQUIRED = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldLeftMs",
    "seq",
)
# A fixed number of examples from a fixed seed, so that each run is the same.
FUZZ = settings(max_examples=300, derandomize=True, deadline=None, database=None)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def read(**changes):
    """Return the registration of an entry with changed fields; None drops a field."""
    entry = {k: v for k, v in (ENTRY | changes).items() if v is not None}
    return read_registration(KEY, json.dumps(entry).encode())


class TestEntries(unittest.TestCase):
    def test_valid_entry_is_read(self):
        expected = Registration(
            "i-1", "web", Address("10.0.0.1", 80), "a", 64, version="v1"
        )
        self.assertEqual(read(), expected)
        found = read(state="draining", spot=True, leaves_ms=1500, born=1780000000250)
        self.assertEqual(found.leaves_in, 1.5)
        self.assertEqual(found.started_at, 1780000000.25)
        self.assertTrue(found.leaving and found.reclaimable)

    def test_missing_field_is_rejected(self):
        for name in REQUIRED:
            with self.subTest(name), self.assertRaises(BadConfiguration):
                read(**{name: None})

    def test_wrong_type_is_rejected(self):
        for name in (*REQUIRED, "spot", "leaves_ms", "born"):
            with self.subTest(name), self.assertRaises(BadConfiguration):
                read(**{name: ["x"]})
        with self.assertRaises(BadConfiguration):
            read(born=17.5)

    def test_unknown_state_is_rejected(self):
        with self.assertRaises(BadConfiguration):
            read(state="resting")

    @FUZZ
    @given(st.binary())
    def test_arbitrary_bytes_are_rejected(self, data):
        with self.assertRaises(BadConfiguration):
            read_registration(KEY, data)

    @FUZZ
    @given(st.dictionaries(st.sampled_from(sorted(ENTRY)), VALUES))
    def test_arbitrary_fields_are_read_or_rejected(self, changes):
        # Another exception would end the reading of all following entries, and the
        # instance would go on with outdated upstreams.
        try:
            found = read_registration(KEY, json.dumps(ENTRY | changes).encode())
        except BadConfiguration:
            return
        self.assertIsInstance(found.address, Address)
        self.assertIsInstance(found.data_centre, str)
        self.assertIsInstance(found.slots, int)
        self.assertGreaterEqual(found.slots, 1)

    @FUZZ
    @given(st.binary())
    def test_arbitrary_peer_record_is_read_or_rejected(self, data):
        try:
            peer = decode_peer("instances/x", data)
        except BadConfiguration:
            return
        self.assertIsInstance(peer.address, Address)
        self.assertTrue(math.isfinite(peer.link))

    def test_peer_with_a_non_finite_link_is_rejected(self):
        for link in (b"nan", b"inf", b"x", b""):
            with self.assertRaises(BadConfiguration):
                decode_peer("instances/x", b"10.0.0.1:7600 a " + link)
