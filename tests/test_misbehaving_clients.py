"""Crowds of clients that misbehave, against real processes beside ordinary callers."""

import json
import time
import unittest

from tests.crowded_gateway import MIB, CrowdedEntry, CrowdedGateway
from tests.crowds import (
    BODY_BYTES,
    HEAD_BYTES,
    make_head,
    make_short_fields,
    plan_json,
)
from tests.procs import Caller, call, read_file

CROWD_SECONDS = 3.0
KEY = b"k1"
# Part of its machine's memory that a process uses, and of the ordinary requests that
# are served, each within the deadline of plain requests.
MEMORY_PART = 0.75
SERVED_PART = 0.99
SMALL, USUAL = 160, 300
# Statuses that promise that a request has not run and never will.
NOT_RUN = {408, 413, 421, 429, 503}
DRAIN_TIMEOUT = 8.0
# Seconds for which callers may read an answer in calm.
ANSWER_TIMEOUT = 20.0


class CrowdCase(unittest.TestCase):
    make_process = CrowdedGateway

    def start(self, memory_mib):
        """Start a process on a machine with this much memory."""
        self.gateway = self.make_process(memory_mib)
        self.addCleanup(self.gateway.close)
        return self.gateway

    def play(self, name, count, path="/page/x", port="port", memory_mib=USUAL):
        """Play one crowd and check the process's memory and its other callers."""
        gateway = self.start(memory_mib)
        crowd = self.begin(name, count, path, port)
        outcomes = gateway.measure(CROWD_SECONDS)
        self.check(outcomes)
        seen = self.read_crowd(crowd)
        # A crowd that didn't reach the process would show nothing.
        self.assertGreaterEqual(seen["counts"]["connections"], count)
        if name != "silent":
            self.assertGreater(seen["counts"]["bytes"], count)
        return seen

    def begin(self, name, count, path="/page/x", port="port", seconds=CROWD_SECONDS):
        """Start one crowd at a port of the process."""
        number = getattr(self.gateway, port)
        return self.gateway.start_crowd(name, count, seconds, path, number)

    def check(self, outcomes):
        """Check how ordinary callers fared, and that the process kept its memory."""
        gateway = self.gateway
        self.assertTrue(gateway.is_alive(), gateway.read_log())
        self.assertLess(gateway.watch.peak, MEMORY_PART * gateway.limit)
        self.assertGreaterEqual(outcomes.served, SERVED_PART, outcomes)
        self.assertEqual(outcomes.ready, outcomes.checks)

    def read_crowd(self, crowd):
        """Return the counts and the statuses by request that a crowd has seen."""
        crowd.popen.wait(CROWD_SECONDS + ANSWER_TIMEOUT)
        line = read_file(crowd.stdout).splitlines()[-1]
        return json.loads(line)

    def read_ran(self):
        """Return the ids of all requests that an upstream ran."""
        ran = set()
        for upstream in self.gateway.upstreams:
            ran |= set(call(upstream.port, "GET", "/ids/").json())
        return ran


class TestBodies(CrowdCase):
    """Large bodies from many callers ended the process: it ran out of memory."""

    def test_whole_bodies(self):
        seen = self.play("whole bodies", 120)
        self.assertIn("status 503", seen["counts"])
        refused = {key for key, status in seen["statuses"].items() if status in NOT_RUN}
        self.assertFalse(refused & self.read_ran(), "refused requests have run")

    def test_whole_bodies_on_the_smallest_machine(self):
        self.play("whole bodies", 120, memory_mib=SMALL)

    def test_bodies_to_a_path_without_a_route(self):
        seen = self.play("whole bodies", 120, path="/none/x")
        statuses = {name for name in seen["counts"] if name.startswith("status")}
        self.assertEqual(statuses, {"status 404"})

    def test_bodies_to_the_port_for_readiness(self):
        self.play("whole bodies", 120, path="/-/ready", port="ready_port")

    def test_bodies_over_the_limit(self):
        self.play("oversized bodies", 120)

    def test_chunks_without_end(self):
        self.play("endless chunks", 100)

    def test_chunks_of_one_byte(self):
        self.play("tiny chunks", 100)

    def test_bodies_in_pieces(self):
        self.play("bodies in pieces", 100, memory_mib=SMALL)

    def test_bodies_that_stop_half_way(self):
        self.play("stopped bodies", 120, memory_mib=SMALL)


class TestHeads(CrowdCase):
    """Heads of very many short fields kept the event loop from all other callers."""

    def test_many_fields(self):
        self.play("many fields", 300)

    def test_many_fields_in_requests_that_take_long(self):
        self.play("many fields", 1000, path="/slow/x")

    def test_many_entries_in_one_field(self):
        self.play("many parts", 300)

    def test_heads_sent_slowly(self):
        self.play("slow heads", 3500)


class TestConnections(CrowdCase):
    """Connections that carry nothing took all descriptors, of readiness checks too."""

    def test_silent_connections(self):
        self.play("silent", 4200)

    def test_silent_connections_to_the_port_for_readiness(self):
        self.play("silent", 4200, port="ready_port")

    def test_silent_connections_to_the_port_for_tunnels(self):
        self.play("silent", 4200, port="tunnel_port", memory_mib=SMALL)


class TestAnswers(CrowdCase):
    """Answers that nobody reads filled the memory, here and in the kernel."""

    def test_requests_sent_ahead(self):
        self.play("pipelined", 60)

    def test_refused_requests_sent_ahead(self):
        self.play("pipelined", 60, path="/none/x")

    def test_large_answers_not_read(self):
        self.play("answers not read", 1000, path="/large/x")

    def test_large_answers_not_read_on_the_smallest_machine(self):
        self.play("answers not read", 1000, path="/large/x", memory_mib=SMALL)

    def test_streams_not_read(self):
        self.play("answers not read", 1500, path="/stream/x")

    def test_large_answers_read_slowly(self):
        self.play("answers read slowly", 1000, path="/large/x")


class TestMixed(CrowdCase):
    def test_several_crowds_at_once(self):
        """Crowds of several kinds together must not exceed what each one may take."""
        gateway = self.start(USUAL)
        crowds = [
            self.begin("whole bodies", 60),
            self.begin("many fields", 100, "/slow/x"),
            self.begin("answers not read", 300, "/large/x"),
            self.begin("silent", 1500),
        ]
        self.check(gateway.measure(CROWD_SECONDS))
        for crowd in crowds:
            self.read_crowd(crowd)

    def test_a_stop_in_a_crowd_ends_in_time(self):
        """Answers that nobody read kept a stopping process until it was killed."""
        gateway = self.start(USUAL)
        self.begin("answers not read", 300, "/stream/x", seconds=2 * DRAIN_TIMEOUT)
        time.sleep(1.0)
        began = time.monotonic()
        gateway.process.popen.terminate()
        self.assertEqual(gateway.process.popen.wait(2 * DRAIN_TIMEOUT), 0)
        self.assertLess(time.monotonic() - began, DRAIN_TIMEOUT)

    def test_memory_comes_back(self):
        """A process grew with each crowd, although all its callers had left."""
        gateway = self.start(USUAL)
        sizes = []
        # The upstream takes its time, so that each crowd fills all of its room.
        for _ in range(4):
            gateway.watch.peak = 0
            self.read_crowd(self.begin("whole bodies", 120, "/slow/x", seconds=5.0))
            self.assertTrue(gateway.is_alive(), gateway.read_log())
            sizes.append(gateway.watch.peak)
        self.assertLess(sizes[-1], 1.1 * sizes[0], [size // MIB for size in sizes])


class TestEntry(CrowdCase):
    """The same crowds ended an entry instance, or kept it from answering."""

    make_process = CrowdedEntry

    def test_whole_bodies(self):
        self.play("whole bodies", 120, path="/v1/completions")

    def test_bodies_of_very_many_short_values(self):
        """Decoded JSON takes up to twenty times the size of its text."""
        self.play("many values", 30, path="/v1/completions")

    def test_refused_requests_sent_ahead(self):
        self.play("pipelined", 60, path="/none")

    def test_silent_connections(self):
        self.play("silent", 4200)

    def test_silent_connections_to_the_port_for_peers(self):
        self.play("silent", 4200, port="peer_port")

    def test_the_largest_body_of_very_many_values_is_served_in_calm(self):
        gateway = self.start(SMALL)
        body = plan_json("/v1/completions").start.replace(
            b"%KEY%", gateway.key.encode()
        )
        with Caller(gateway.port, ANSWER_TIMEOUT) as caller:
            caller.send(body.replace(b"%ID%", b"one", 1))
            self.assertEqual(caller.read_answer().status, 200)
        self.assertLess(gateway.watch.peak, MEMORY_PART * gateway.limit)


class TestCalm(CrowdCase):
    """A single request inside the limits is served, also on the smallest machine."""

    def setUp(self):
        self.start(SMALL)

    def ask(self, data):
        """Send one request and return its answer."""
        with Caller(self.gateway.port, ANSWER_TIMEOUT) as caller:
            caller.send(data.replace(b"%KEY%", KEY, 1))
            return caller.read_answer()

    def test_the_largest_body(self):
        head = make_head("/page/x", f"Content-Length: {BODY_BYTES}")
        self.assertEqual(self.ask(head + b"x" * BODY_BYTES).status, 200)

    def test_the_largest_body_in_chunks(self):
        head = make_head("/page/x", "Transfer-Encoding: chunked")
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        body = chunk * (BODY_BYTES // 1024) + b"0\r\n\r\n"
        self.assertEqual(self.ask(head + body).status, 200)

    def test_the_largest_head_with_the_most_fields(self):
        head = make_head("/page/x", *make_short_fields(HEAD_BYTES - 300), method="GET")
        self.assertEqual(self.ask(head).status, 200)

    def test_a_refused_sender_reads_his_answer(self):
        """A caller who sent his body first saw a reset in place of the refusal."""
        head = make_head("/none/x", f"Content-Length: {BODY_BYTES}")
        self.assertEqual(self.ask(head + b"x" * BODY_BYTES).status, 404)

    def test_a_connection_that_was_idle_for_long_is_served(self):
        """Idle connections are closed early only when connections run short."""
        with Caller(self.gateway.port, ANSWER_TIMEOUT) as caller:
            request = make_head("/page/x", method="GET").replace(b"%KEY%", KEY)
            caller.send(request)
            self.assertEqual(caller.read_answer().status, 200)
            time.sleep(4.0)
            caller.send(request)
            self.assertEqual(caller.read_answer().status, 200)


if __name__ == "__main__":
    unittest.main()
