"""Random series of planned stops beside callers; see ``__main__`` for long runs."""

import random
import signal
import sys
import time

from tests.planned_stops import list_faults
from tests.procs import poll
from tests.test_planned_stops import DRAIN_TIMEOUT, StopCase

CI_SEEDS = (1, 2, 3)
KINDS = ("page", "note", "chat")
# Seconds of work; the longest ones outlast a stop.
WORK = (0.01, 0.05, 0.3, 0.9, 2.2, 3.4, 4.5)
EXTRA_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


class TestRandomised(StopCase):
    """Guard against requests lost in a stop, in combinations nobody has thought of."""

    maxDiff = 600

    def play(self, rng):
        """Stop one or two gateways, one of which may help the other; return faults."""
        self.work.began.clear()
        helper, _ = self.launch("two")
        gateway, paths = self.launch("one")
        if rng.random() < 0.5:
            paths.cut(rng.choice(("reset", "hang")))
            poll(lambda: self.call(gateway, "/page/warm/0") == 200)
        for _ in range(rng.randint(2, 10)):
            work = [(rng.choice(KINDS), rng.choice(WORK)) for _ in range(20)]
            pause = rng.choice((0, 0.02, 0.3, 1.0))
            port = rng.choice((gateway, gateway, helper)).port
            self.callers.start(port, work, rng.random() < 0.6, pause)
        time.sleep(rng.uniform(0.2, 3.0))
        # A helper's stop is judged by the callers of the instance that it helps.
        series = rng.choice(([gateway], [helper], [gateway, helper]))
        signal_at = time.monotonic()
        for process in series:
            process.popen.terminate()
            time.sleep(rng.uniform(0, 0.4))
        for number in rng.sample(EXTRA_SIGNALS, rng.randint(0, 3)):
            rng.choice(series).signal(number)
        for process in series:
            self.assertEqual(process.popen.wait(DRAIN_TIMEOUT + 2), 0)
        self.callers.close()
        sent = [item for item in self.callers.sent if item.ended_at >= signal_at]
        return list_faults(self.work, sent, signal_at, DRAIN_TIMEOUT), len(sent)

    def test_series_of_stops(self):
        for seed in CI_SEEDS:
            with self.subTest(seed=seed):
                self.play_seed(seed)

    def play_seed(self, seed):
        """Play one seed on processes of its own."""
        case = type(self)()
        case.setUp()
        try:
            faults, count = case.play(random.Random(seed))
            self.assertEqual(faults, {}, f"of {count} requests")
        finally:
            case.doCleanups()
        return count


if __name__ == "__main__":
    first, last = map(int, sys.argv[1:3])
    for number in range(first, last + 1):
        try:
            print(number, TestRandomised().play_seed(number), "requests", flush=True)
        except AssertionError as exc:
            print(number, "FAILED", str(exc).replace("\n", " ")[:900], flush=True)
