"""Tests of the gateway without a platform: its file, header fields and reloads."""

import sys
import unittest
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from chervilwing.exceptions import BadConfiguration
from chervilwing.routing_files import parse_file
from tests.procs import HOST, ROOT, Caller, Processes, call_json, poll
from tests.upstreams import RawUpstream

EXAMPLE = (ROOT / "examples" / "gateway.toml").read_text()
REFUSED = (
    b"HTTP/1.1 503 Full\r\nChervilwing-Outcome: not_run\r\nContent-Length: 0\r\n\r\n"
)


def answer(conn, method, path, body):
    """Answer with 200."""
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def refuse(conn, method, path, body):
    """Refuse the request with the mark that it has not run."""
    conn.sendall(REFUSED)


class TestFile(unittest.TestCase):
    def test_the_example_file_is_valid(self):
        document, upstreams = parse_file(EXAMPLE)
        self.assertEqual([route.name for route in document.routes][2], "quotes")
        self.assertEqual(document.routes[2].targets[0].weight, 90)
        self.assertEqual(document.pools[1].engine.slots, 64)
        self.assertEqual(upstreams[0].address.port, 9001)

    def test_errors_name_the_fault(self):
        cases = {
            'pools = ["portal"]\nattempts': (
                'pools = ["portals"]\nattempts',
                "portals",
            ),
            'kind = "stream"': ('kind = "streaming"', "kind must be one of"),
            'prefix = "/notes/"': ('prefix = "/notes"', "slash"),
            "rate = 100": ("rates = 100", "rates"),
            "version = 1": ("versions = 1", "version"),
        }
        for old, (new, detail) in cases.items():
            with self.subTest(new=new):
                with self.assertRaisesRegex(BadConfiguration, detail):
                    parse_file(EXAMPLE.replace(old, new))


class TestLocalGateway(unittest.TestCase):
    def setUp(self):
        self.procs = Processes()
        self.addCleanup(self.procs.close)
        self.path = Path(self.enterContext(TemporaryDirectory())) / "routes.toml"
        self.upstreams = [RawUpstream(answer)]
        self.addCleanup(lambda: [upstream.close() for upstream in self.upstreams])
        self.write(1, self.upstreams[0])
        flags = {"listen": f"{HOST}:0", "ready-listen": f"{HOST}:0", "name": "one"}
        flags |= {"beacon-listen": f"{HOST}:0", "routes": self.path}
        argv = [f"--{name}={value}" for name, value in flags.items()]
        program = [sys.executable, "-m", "chervilwing.local_gateway", *argv]
        self.gateway = self.procs.start(program)
        poll(self.is_ready)

    def write(self, version, upstream, key="k1"):
        """Write the routes file with one upstream and one API key."""
        text = EXAMPLE.replace("version = 1", f"version = {version}")
        text = text.replace("127.0.0.1:9001", f"{HOST}:{upstream.port}")
        text = text.replace("portal-1", f"portal-{upstream.port}")
        self.path.write_text(text.replace("an-example-key-that-nobody-has", key))

    def is_ready(self):
        """Return whether the gateway reports that it is ready."""
        with suppress(OSError):
            ready_port = self.gateway.info["ready_port"]
            return call_json(ready_port, "GET", "/-/ready")[0] == 200

    def call(self, path="/policies/x", key="k1"):
        """Send one request and return the answer."""
        with Caller(self.gateway.port) as caller:
            caller.send(
                f"GET {path} HTTP/1.1\r\nHost: portal.example\r\n"
                f"Authorization: Bearer {key}\r\n\r\n".encode()
            )
            return caller.read_answer()

    def test_upstreams_receive_customer_and_remaining_time(self):
        self.assertEqual(self.call().status, 200)
        fields = self.upstreams[0].heads[0][1]
        self.assertEqual(fields["chervilwing-customer"], "insurer")
        self.assertLessEqual(float(fields["chervilwing-timeout"]), 1.2)
        self.assertNotIn("authorization", fields)

    def test_a_changed_file_is_applied_and_a_faulty_one_is_ignored(self):
        self.upstreams.append(RawUpstream(answer))
        self.write(2, self.upstreams[1], key="k2")
        poll(lambda: self.call(key="k2").status == 200)
        self.assertEqual(self.call(key="k1").status, 401)
        poll(lambda: self.call(key="k2") and self.upstreams[1].seen)
        self.path.write_text("version = ")
        self.assertEqual(self.call(key="k2").status, 200)

    def test_a_refusal_of_the_upstream_is_reported_as_not_run(self):
        self.upstreams.append(RawUpstream(refuse))
        self.write(2, self.upstreams[1])
        poll(lambda: self.call("/notes/x").status == 503)
        # RFC 9110, section 10.2.3: whole seconds.
        self.assertEqual(self.call("/notes/x").headers["retry-after"], "1")
