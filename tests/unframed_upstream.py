"""An upstream process whose streams have neither a length nor chunks.

It sends ``--events`` numbered events, goes on after Last-Event-Id, and closes the
connection. A stream from its beginning waits after ``--hold-after`` events, with the
connection open, so that a test may kill the process between two events.
"""

import argparse
import json
import threading

from tests.test_broken_answers import frame_close
from tests.test_gateway import close_after_sent
from tests.upstreams import RawUpstream


def make_events(first, last):
    """Return the events with these numbers."""
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


def run():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--events", type=int, default=6)
    parser.add_argument("--hold-after", type=int, default=0)
    options = parser.parse_args()

    def stream(conn, *request):
        first = int(upstream.heads[-1][1].get("last-event-id", "0")) + 1
        if options.hold_after and first == 1:
            conn.sendall(frame_close(make_events(1, options.hold_after)))
            threading.Event().wait()
        conn.sendall(frame_close(make_events(first, options.events)))
        close_after_sent(conn)

    upstream = RawUpstream(stream)
    print(json.dumps({"port": upstream.port}), flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    run()
