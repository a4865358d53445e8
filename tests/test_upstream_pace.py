"""Stated loads and paces: figures that can't be true, and what each decision uses."""

import random
import unittest

from chervilwing.dialects import PLAIN
from chervilwing.platform.headers import DIALECT
from chervilwing.upstream_pace import StatedLoad, read_reports, read_stated_load

SIGNED = {"x-server-stamp": "s"}
# None of these can be a load: wrong counts, signs, other characters, absurd sizes.
IMPLAUSIBLE = (
    *("", " ", ",", "1", "1,2", "1,2,", ",1,2", "1,2,3,", "1,2,3,4,5", "1,2,3,1,2,3"),
    *("-1,0,6,100", "+1,0,6,100", "1.5,0,6,100", "1,0,6,1e2", "1,0,6,nan", "a,b,c,d"),
    *(
        "1;0;6;100",
        "1 0 6 100",
        "0x1,0,6,100",
        "1_0,0,6,100",
        "١,0,6,100",
        "1,0,6\n,100",
    ),
    *("1,0,0,100", "1,0,6,0", "1,0,6,9", "1,0,6,10001", "100001,0,6,100"),
    *("9" * 5000 + ",0,6,100", "1,0,6," + "9" * 5000, "," * 5000),
)


class TestStatedLoad(unittest.TestCase):
    def test_figures_of_both_dialects_are_read(self):
        # A dialect that reads another field would leave every pool at the usual pace.
        for text, load in (
            ("3,1,6,250", StatedLoad(3, 1, 6, 2.5)),
            (" 0 , 0 , 64 ", StatedLoad(0, 0, 64)),
        ):
            plain = PLAIN.read_answer_head(200, {"chervilwing-load": text})
            platform = DIALECT.read_answer_head(200, SIGNED | {"x-server-load": text})
            self.assertEqual((plain.load, platform.load), (load, load))

    def test_implausible_figures_count_as_none(self):
        # One absurd figure would keep an upstream unused, or make it look idle.
        for text in IMPLAUSIBLE:
            with self.subTest(text=text[:40]):
                self.assertIsNone(read_stated_load(text))

    def test_a_load_of_another_server_is_not_believed(self):
        # An answer from another address would slow down the expected upstream.
        fields = {"x-server-load": "3,1,6,250"}
        self.assertIsNone(DIALECT.read_answer_head(200, fields).load)
        self.assertIsNone(DIALECT.read_answer_head(421, SIGNED | fields).load)

    def test_random_text_is_never_an_error(self):
        # An exception while a head is read would end the answer of a sound request.
        rng = random.Random(1)
        for _ in range(2000):
            text = "".join(rng.choices("0123456789,,,, -.eE+", k=rng.randrange(20)))
            load = read_stated_load(text)
            self.assertTrue(load is None or load.slots)

    def test_implausible_reports_of_instances_are_ignored(self):
        # A datagram of a faulty instance would slow down an upstream for all.
        fields = [
            ["u0", 0.1, 1, 0, 6, 2.5],
            ["u1", -0.1, 1, 0, 6, 2.5],
            ["u2", 0.1, 1, 0, 6, float("nan")],
            ["u3", 0.1, 1, 0, 6, 1e9],
            ["u4", float("inf"), 1, 0, 6, 2.5],
            ["u5", 0.1, 1.5, 0, 6, 2.5],
        ]
        self.assertEqual([report.upstream for report in read_reports(fields)], ["u0"])


if __name__ == "__main__":
    unittest.main()
