"""The log lines by which an operator finds what upstreams crash on."""

import unittest

from loguru import logger

from chervilwing.platform.headers import DIALECT
from tests.crashing_upstreams import CRASHING, CrashingUpstream
from tests.gateways import GatewayThread, make_document
from tests.procs import poll


class TestCrashLines(unittest.TestCase):
    def test_a_crash_and_its_requests_name_the_shared_parts_of_the_prompts(self):
        # Guards against crashes whose common part can't be seen in the logs.
        lines = []
        sink = logger.add(lambda message: lines.append(message.record), level="INFO")
        self.addCleanup(logger.remove, sink)
        run = GatewayThread(DIALECT, document=make_document())
        self.addCleanup(run.close)
        upstream = CrashingUpstream()
        self.addCleanup(upstream.close)
        run.gateway.put_upstream(run.make_registration("u0", upstream.port))
        run.call("POST", "/note/x", CRASHING, X_Prompt_Prefix="aa:5,bb:7,cc:9")

        def find(message):
            return [item["extra"] for item in lines if item["message"] == message]

        poll(lambda: find("upstream crashed") and find("request"))
        self.assertEqual(find("upstream crashed")[0]["parts"], "aa:1,bb:1")
        self.assertEqual(find("request")[0]["parts"], "aa,bb")
