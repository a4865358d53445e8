"""Steps of the live scenarios for revisions, operators, reclaims and load."""

import itertools
import json
import sys
import threading
import time

from tests.deployments import AUTHORISED
from tests.procs import HOST, call, poll, read_file

OPERATOR_OPTIONS = ("--timeout", "1", "--pause", "0.2")
EXIT_DONE, EXIT_CONFLICT = 0, 3
IN_FORCE = "configuration in force"
IN_FORCE_TIMEOUT = 16.0
NOTICE_TIMEOUT = 3.0


def expect_revision(play, name, revision):
    """Expect that an instance's current revision is this one."""
    found = play.entries[name].get("/-/status")[1]["revision"]
    assert found == int(revision), found


def list_revisions(entry):
    """Return the revisions that an instance has applied, in order."""
    lines = (json.loads(line) for line in read_file(entry.stderr).splitlines())
    return [line["revision"] for line in lines if line.get("message") == IN_FORCE]


def expect_no_reversal(play):
    """Expect that no instance applied an older revision after a newer one."""
    for name, entry in play.entries.items():
        found = list_revisions(entry)
        assert found == sorted(found), (name, found)


def start_operator(play, name, field, value):
    """Start the operators' tool to set a field of the rules."""
    store = f"{HOST}:{play.deployment.store.port}"
    argv = [sys.executable, "-m", "chervilwing.cli", "--store", store]
    argv += [*OPERATOR_OPTIONS, "rules", "edit", "--set", f"{field}={value}"]
    play.operators[name] = play.deployment.processes.run(argv)


def expect_operator(*codes):
    """Return the step that expects an edit to exit with one of the codes."""

    def check(play, name):
        process = play.operators[name]
        code = process.popen.wait(20)
        assert code in codes, (code, read_file(process.stderr))

    return check


def read_stored(play):
    """Return the configuration that the store has."""
    return json.loads(play.deployment.store.get("/kv/chervilwing/config")[1]["value"])


def expect_stored(play, field, value):
    """Expect this value of a field, ``section.name.key``, in the stored rules."""
    section, name, key = field.split(".")
    rows = read_stored(play)["rules"][section]
    (row,) = (row for row in rows if row["name"] == name)
    assert row[key] == int(value), row


def expect_revision_on_all(play):
    """Expect each instance to apply the stored revision in time."""
    stored = read_stored(play)["revision"]

    def in_force():
        entries = play.entries.values()
        return all(e.get("/-/status")[1]["revision"] == stored for e in entries)

    poll(in_force, IN_FORCE_TIMEOUT)


def find_engines(play, centre):
    """Return pairs of name and process for the engines of a data centre."""
    rows = zip(play.engines, play.centres, strict=True)
    return [(f"engine-{i}", e) for i, (e, place) in enumerate(rows) if place == centre]


def reclaim_data_centre(play, centre, seconds):
    """Give notice to all instances of a data centre."""
    body = {"data_centre": centre, "seconds": int(seconds)}
    play.notice_times[centre] = time.time()
    status, answer = play.deployment.cloud.post("/-/notice", body)
    assert status == 200 and answer["noticed"], answer


def reclaim_engines(play, centre, seconds):
    """Give notice to the engines of a data centre only."""
    for name, _ in find_engines(play, centre):
        body = {"name": name, "seconds": int(seconds)}
        assert play.deployment.cloud.post("/-/notice", body)[0] == 200


def kill_reclaimed_engines(play, centre):
    """Wait until the cloud has reclaimed a data centre's engines and kill them."""
    engines = find_engines(play, centre)
    names = {name for name, _ in engines}

    def reclaimed():
        rows = play.deployment.cloud.record()["instances"]
        return not names & {row["name"] for row in rows}

    poll(reclaimed, 20.0)
    for _, engine in engines:
        engine.kill()


def expect_data_centre_leaving(play, centre, entry):
    """Expect an instance to mark a data centre's engines as leaving in time."""
    names = {name for name, _ in find_engines(play, centre)}

    def leaving():
        rows = play.entries[entry].get("/-/status")[1]["upstreams"]
        return names <= {row["name"] for row in rows if row["state"] == "leaving"}

    poll(leaving, NOTICE_TIMEOUT)


def wait_until_reclaimed(play, centre):
    """Wait until the cloud has reclaimed all instances of a data centre."""

    def reclaimed():
        rows = play.deployment.cloud.record()["instances"]
        return not any(row["data_centre"] == centre for row in rows)

    poll(reclaimed, 30.0)


def kill_engines(play, centre):
    """Kill the engines of a data centre."""
    for _, engine in find_engines(play, centre):
        engine.kill()


def expect_no_new_attempts(play, centre):
    """Expect that no attempt started in a data centre later than 3 s after notice."""
    until = play.notice_times[centre] + NOTICE_TIMEOUT
    for name, engine in find_engines(play, centre):
        late = [row for row in engine.record()["attempts"] if row["started"] > until]
        assert not late, (name, late)


class Load:
    """Callers that send requests to ready instances in turn, as a balancer would."""

    def __init__(self, play):
        self.play = play
        self.stopped = threading.Event()
        self.served = 0
        self.failures = []
        self.counter = itertools.count()

    def start(self, count):
        """Start ``count`` callers that fetch documents in sequence."""
        self.threads = [threading.Thread(target=self.run) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self):
        """Send requests until stopped."""
        while not self.stopped.is_set():
            entries = [e for e in list(self.play.entries.values()) if is_ready(e)]
            if entries:
                self.fetch(entries[next(self.counter) % len(entries)])

    def fetch(self, entry):
        """Send one request; record an error or a failed answer."""
        try:
            answer = call(entry.port, "GET", "/services/portal/d", b"", AUTHORISED)
        except ConnectionRefusedError:
            # Nothing was sent, so a balancer would try the next instance.
            return
        except (OSError, EOFError) as exc:
            self.failures.append(repr(exc))
            return
        self.served += answer.status == 200
        if answer.status != 200 and answer.json().get("outcome") != "not_run":
            self.failures.append(answer.raw)

    def stop(self):
        """Stop the callers and wait for them."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def is_ready(entry):
    """Return whether an instance runs and reports that it is ready."""
    if entry.popen.poll() is not None:
        return False
    try:
        return entry.get("/-/ready")[0] == 200
    except OSError:
        return False


def start_load(play, count):
    """Start callers and wait until ``count`` answers were received."""
    play.load = Load(play)
    play.load.start(int(count))
    poll(lambda: play.load.served >= int(count))


def expect_load(play):
    """Expect further answers to the callers and no failures."""
    served = play.load.served
    poll(lambda: play.load.served > served + len(play.load.threads))
    play.load.stop()
    assert not play.load.failures, play.load.failures


STEPS = {
    "expect_revision": expect_revision,
    "expect_no_reversal": expect_no_reversal,
    "operator": start_operator,
    "expect_operator": expect_operator(EXIT_DONE),
    "expect_operator_typed": expect_operator(EXIT_DONE, EXIT_CONFLICT),
    "expect_stored": expect_stored,
    "expect_everywhere": expect_revision_on_all,
    "reclaim_centre": reclaim_data_centre,
    "reclaim_engines": reclaim_engines,
    "take_engines": kill_reclaimed_engines,
    "expect_centre_leaving": expect_data_centre_leaving,
    "when_over": wait_until_reclaimed,
    "kill_engines": kill_engines,
    "expect_no_work": expect_no_new_attempts,
    "load": start_load,
    "expect_load": expect_load,
}
