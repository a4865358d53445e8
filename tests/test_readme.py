"""The commands of the README's first screen, run as they stand there."""

import json
import re
import sys
import unittest

from tests.procs import HOST, ROOT, Processes, call

README = (ROOT / "README.md").read_text()
CALL = re.compile(r"curl -s http://127\.0\.0\.1:8080(\S+).*?-d '([^']*)'", re.DOTALL)
SERVE = re.compile(r"\nserve:.*\n\t\$\(PY\) (.*)\n")


class TestReadme(unittest.TestCase):
    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def start(self):
        """Run the command of ``make serve`` on free ports."""
        command = SERVE.search((ROOT / "Makefile").read_text())[1]
        argv = command.replace("127.0.0.1:8080", f"{HOST}:0").split()
        peers = ("--peer-listen", f"{HOST}:0")
        return self.processes.start([sys.executable, *argv, *peers])

    def test_both_calls_work_on_a_fresh_instance(self):
        self.assertIn("make serve", README)
        path, body = CALL.search(README).groups()
        entry = self.start()
        headers = {"Content-Type": "application/json"}
        answer = call(entry.port, "POST", path, body.encode(), headers)
        self.assertEqual((answer.status, answer.whole), (200, True), answer.raw)
        text = answer.json()["choices"][0]["text"]
        self.assertEqual(answer.json()["usage"]["completion_tokens"], 8)
        asked = json.dumps(json.loads(body) | {"stream": True}).encode()
        streamed = call(entry.port, "POST", path, asked, headers)
        self.assertEqual(streamed.headers["content-type"], "text/event-stream")
        self.assertTrue(streamed.body.endswith(b"data: [DONE]\n\n"))
        events = [json.loads(data) for data in streamed.events()[:-1]]
        found = "".join(item["choices"][0]["text"] for item in events)
        self.assertEqual((found, len(streamed.chunks) >= 8), (text, True))


if __name__ == "__main__":
    unittest.main()
