"""Parts of prompts that crash the upstreams that run them, in ever new requests."""

import time
import unittest

from chervilwing.clocks import read_boottime
from chervilwing.crash_records import CRASH_LIMIT, Suspicion
from chervilwing.fingerprints import make_part_fingerprint
from chervilwing.platform.headers import DIALECT
from tests.crashing_upstreams import (
    COMPLETE,
    CRASHING,
    HEAD,
    CrashingUpstream,
    count_crashed,
)
from tests.gateways import GatewayThread, make_document
from tests.procs import Caller, poll
from tests.test_gateway import break_off
from tests.test_platform import PlatformCase

TRIES = 9
# Crashes from which no request with the part may be sent any more.
MOST_CRASHES = 5
# Seconds after the last of these crashes in which other instances may not know of it.
KNOWN_AFTER = 3.0
# Seconds between two requests with the part.
PAUSE = 0.5
BAD = "bad0"
PLACES = (
    f"{BAD}:80,a1:40,own{{}}:9",
    f"a1:40,{BAD}:80,b{{}}:9,own{{}}:9",
    f"a1:40,a2:40,{BAD}:80,own{{}}:9",
)


PART = make_part_fingerprint("a1")


def end_with_connection(conn, method, path, body):
    """Send an answer without a length, which ends with its connection."""
    conn.sendall(HEAD + b"\r\nwhole")
    conn.close()


class TestOneInstance(unittest.TestCase):
    def start(self, starts_stream=False):
        """Start a gateway in front of upstreams that requests may crash."""
        run = self.run_ = GatewayThread(DIALECT, document=make_document())
        self.addCleanup(run.close)
        self.upstreams = [CrashingUpstream(starts_stream) for _ in range(TRIES * 3)]
        for number, upstream in enumerate(self.upstreams):
            self.addCleanup(upstream.close)
            found = run.make_registration(f"u{number}", upstream.port)
            run.gateway.put_upstream(found)

    def send(self, path, number, parts, **headers):
        """Send a request with a part that crashes upstreams, and content of its own."""
        body = CRASHING + str(number).encode()
        fields = {"X_Prompt_Prefix": parts, "X_Request_Id": f"r{number}", **headers}
        return self.run_.call("POST", path, body, **fields).status

    def check_barred(self, path, parts=PLACES[1], **headers):
        """Check that a part is barred after few crashes, and nothing beside it."""
        for number in range(TRIES):
            last = self.send(path, number, parts.format(number, number), **headers)
        self.assertLessEqual(count_crashed(self.upstreams), MOST_CRASHES)
        self.assertEqual(last, 503)
        sound = parts.replace(BAD, "sound").format("x", "x")
        for other in (sound, f"a1:40,own:{TRIES}", f"own:9,{BAD}:80"):
            answer = self.run_.call("POST", path, b"n", X_Prompt_Prefix=other)
            self.assertEqual(answer.status, 200)

    def test_a_part_is_barred_wherever_it_stands_but_last(self):
        # Guards against upstreams that crash one by one on requests with a part in
        # common, of which no two are alike.
        for parts in PLACES:
            self.start()
            self.check_barred("/note/x", parts)

    def test_a_part_is_barred_where_instances_retry(self):
        # Guards against retries that bring the part to further upstreams.
        self.start()
        self.check_barred("/page/x")

    def test_a_part_is_barred_that_crashes_upstreams_in_a_stream(self):
        # Guards against a begun stream that counts as the part's acquittal.
        self.start(starts_stream=True)
        self.check_barred("/chat/x")

    def test_a_part_is_barred_that_crashes_upstreams_in_a_resumed_stream(self):
        # Guards against an instance that resumes the stream at one after the other.
        self.start(starts_stream=True)
        self.check_barred("/quote/x", Last_Event_Id="1")

    def test_two_parts_are_barred_at_once(self):
        # Guards against one crashing part that explains the crashes of another one.
        self.start()
        for number in range(TRIES):
            for name in ("bad1", "bad2"):
                last = self.send("/note/x", f"{name}{number}", f"a1:40,{name}:80,o:9")
        self.assertLessEqual(count_crashed(self.upstreams), 2 * MOST_CRASHES)
        self.assertEqual(last, 503)


class TestAnswers(unittest.TestCase):
    def start(self, script):
        """Start a gateway with one upstream that answers by a script."""
        self.run_ = GatewayThread(DIALECT, script, document=make_document())
        self.addCleanup(self.run_.close)
        self.number = 0

    def send(self):
        """Send a request with the part ``a1`` and other content each time."""
        self.number += 1
        body = str(self.number).encode()
        answer = self.run_.call("POST", "/note/x", body, X_Prompt_Prefix="a1:4,o:9")
        return answer.status

    def suspect(self):
        """Suspect the part of as many crashes as bar it; return how many count."""
        records, now = self.run_.gateway.crashes, read_boottime()
        for number in range(CRASH_LIMIT):
            records.prove(Suspicion(PART, f"gone{number}"), now)
        return records.count(PART, now)

    def test_a_broken_connection_to_a_running_upstream_bars_no_part(self):
        # Guards against links that reset connections and upstreams that break off.
        self.start(break_off)
        for _ in range(TRIES):
            self.assertEqual(self.send(), 502)
        poll(lambda: not self.run_.gateway.crash_detection.is_probing)
        self.assertEqual(self.run_.gateway.crashes.count(PART, read_boottime()), 0)

    def test_a_success_acquits_the_parts_of_its_prompt(self):
        # Guards against suspicions of parts that upstreams do answer.
        self.start(lambda conn, *rest: conn.sendall(COMPLETE))
        self.send()
        self.assertEqual(self.suspect(), 0)

    def test_an_error_acquits_no_part(self):
        # Guards against errors that an upstream answers without reading the prompt.
        error = COMPLETE.replace(b"200 OK", b"400 Bad Request")
        self.start(lambda conn, *rest: conn.sendall(error))
        self.assertEqual(self.send(), 400)
        self.assertEqual(self.suspect(), CRASH_LIMIT)

    def test_an_answer_that_ends_with_its_connection_acquits_later(self):
        # Guards against a crash that looks like an answer's end, and against parts
        # that are never acquitted since all answers end like that.
        self.start(end_with_connection)
        self.send()
        self.assertEqual(self.suspect(), CRASH_LIMIT)
        self.start(end_with_connection)
        self.send()
        self.send()
        self.assertEqual(self.suspect(), 0)


class TestSeveralInstances(PlatformCase):
    def setUp(self):
        super().setUp()
        self.document["routes"][0]["attempts"] = 1
        self.document["version"] += 1
        self.publish()
        self.upstreams = [CrashingUpstream() for _ in range(TRIES * 3)]
        for number, upstream in enumerate(self.upstreams):
            self.addCleanup(upstream.close)
            self.upstream = upstream
            self.register(f"i-c{number}")
        self.operate(deletes=["servers/i-1"])

    def send(self, gateway, number, body=CRASHING, part=BAD):
        """Send a request with a prompt to an instance and return the status."""
        content = body + str(number).encode()
        head = "POST /page/x HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 2000\r\n"
        head += f"Authorization: Bearer k1\r\nX-Request-Id: {number}\r\n"
        head += f"X-Prompt-Prefix: a1:40,{part}:80,own{number}:9\r\n"
        head += f"Content-Length: {len(content)}\r\n\r\n"
        with Caller(gateway.port) as caller:
            caller.send(head.encode() + content)
            return caller.read_answer().status

    def lapse(self):
        """Delete the registrations of crashed upstreams, as the platform does."""
        crashed = [f"servers/i-c{n}" for n, u in enumerate(self.upstreams) if u.crashed]
        self.operate(deletes=crashed)

    def repeat(self, gateways, count, start=0):
        """Send requests with the part to one instance after the other."""
        for number in range(start, start + count):
            self.send(gateways[number % len(gateways)], f"n{number}")
            time.sleep(PAUSE)
            self.lapse()

    def test_a_part_is_barred_by_all_instances(self):
        # Guards against crashes of which each instance sees too few.
        gateways = [self.start(name) for name in ("one", "two", "three")]
        self.repeat(gateways, TRIES + int(KNOWN_AFTER / PAUSE))
        crashed = count_crashed(self.upstreams)
        self.repeat(gateways, len(gateways), start=100)
        self.assertEqual(count_crashed(self.upstreams), crashed)
        self.assertLess(crashed, TRIES)
        for number, gateway in enumerate(gateways):
            self.assertEqual(self.send(gateway, f"s{number}", b"sound", "a2"), 200)

    def test_a_part_is_barred_by_instances_that_start_later(self):
        # Guards against a part that is sent again by instances that don't know it yet.
        gateways = [self.start(name) for name in ("one", "two")]
        for number, gateway in enumerate(gateways):
            self.assertEqual(self.send(gateway, f"a{number}", b"sound", "a2"), 200)
        self.check_barred_later(gateways)

    def test_a_first_part_is_served_that_nobody_has_answered_before_a_restart(self):
        # Guards against a bar on the first part of all crashing requests after all that
        # knew of its other requests have ended.
        self.check_barred_later([self.start(name) for name in ("one", "two")])

    def check_barred_later(self, gateways):
        """Check that a part stays barred, and only that, after all are replaced."""
        self.repeat(gateways, TRIES + int(KNOWN_AFTER / PAUSE))
        crashed = count_crashed(self.upstreams)
        for gateway in gateways:
            gateway.kill()
        for number, name in enumerate(("one", "four")):
            gateway = self.start(name)
            poll(lambda g=gateway: self.send(g, "o", b"other", "a2") == 200)
            self.assertEqual(self.send(gateway, f"n{number}"), 503)
        self.assertEqual(count_crashed(self.upstreams), crashed)
