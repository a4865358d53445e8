"""Tests that the README's first commands work exactly as written."""

import json
import re
import sys
import unittest

from tests.procs import HOST, ROOT, Processes, call

README = (ROOT / "README.md").read_text()
CURL_PATTERN = re.compile(
    r"curl -s http://127\.0\.0\.1:8080(\S+).*?-d '([^']*)'", re.DOTALL
)
SERVE_PATTERN = re.compile(r"\nserve:.*\n\t\$\(PY\) (.*)\n")


class TestReadme(unittest.TestCase):
    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def start_instance(self):
        """Start an instance with the command of ``make serve``, on free ports."""
        command = SERVE_PATTERN.search((ROOT / "Makefile").read_text())[1]
        args = command.replace("127.0.0.1:8080", f"{HOST}:0").split()
        peers = ("--peer-listen", f"{HOST}:0")
        return self.processes.start([sys.executable, *args, *peers])

    def test_curl_command_works_without_and_with_streaming(self):
        self.assertIn("make serve", README)
        path, body = CURL_PATTERN.search(README).groups()
        entry = self.start_instance()
        headers = {"Content-Type": "application/json"}
        response = call(entry.port, "POST", path, body.encode(), headers)
        self.assertEqual((response.status, response.whole), (200, True), response.raw)
        text = response.json()["choices"][0]["text"]
        self.assertEqual(response.json()["usage"]["completion_tokens"], 8)
        stream_body = json.dumps(json.loads(body) | {"stream": True}).encode()
        streamed = call(entry.port, "POST", path, stream_body, headers)
        self.assertEqual(streamed.headers["content-type"], "text/event-stream")
        self.assertTrue(streamed.body.endswith(b"data: [DONE]\n\n"))
        events = [json.loads(data) for data in streamed.events()[:-1]]
        streamed_text = "".join(item["choices"][0]["text"] for item in events)
        self.assertEqual((streamed_text, len(streamed.chunks) >= 8), (text, True))


if __name__ == "__main__":
    unittest.main()
