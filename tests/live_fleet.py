"""Steps of the live scenarios about revisions, operators, reclaims and replacement."""

import itertools
import json
import sys
import threading
import time

from tests.deployments import AUTHORISED
from tests.procs import HOST, call, poll, read_file

OPERATOR_OPTIONS = ("--timeout", "1", "--pause", "0.2")
DONE, CONFLICT = 0, 3
IN_FORCE = "configuration in force"
IN_FORCE_WITHIN = 16.0
NO_WORK_AFTER = 3.0


def expect_revision(play, name, revision):
    """Expect that an instance has this revision in force now."""
    found = play.entries[name].get("/-/status")[1]["revision"]
    assert found == int(revision), found


def list_revisions(entry):
    """Return the revisions that an instance has put in force, in order."""
    lines = (json.loads(line) for line in read_file(entry.stderr).splitlines())
    return [line["revision"] for line in lines if line.get("message") == IN_FORCE]


def expect_no_reversal(play):
    """Expect that no instance put an older revision in force after a newer one."""
    for name, entry in play.entries.items():
        found = list_revisions(entry)
        assert found == sorted(found), (name, found)


def start_operator(play, name, field, value):
    """Run the operators' tool beside the scenario."""
    store = f"{HOST}:{play.deployment.store.port}"
    argv = [sys.executable, "-m", "chervilwing.cli", "--store", store]
    argv += [*OPERATOR_OPTIONS, "rules", "edit", "--set", f"{field}={value}"]
    play.operators[name] = play.deployment.processes.run(argv)


def expect_operator(*codes):
    """Return the step that expects an operator's edit to end with one of the codes."""

    def check(play, name):
        process = play.operators[name]
        code = process.popen.wait(20)
        assert code in codes, (code, read_file(process.stderr))

    return check


def read_stored(play):
    """Return the stored configuration as the key-value service has it."""
    return json.loads(play.deployment.store.get("/kv/chervilwing/config")[1]["value"])


def expect_stored(play, field, value):
    """Expect a value in the stored rules."""
    section, name, key = field.split(".")
    rows = read_stored(play)["rules"][section]
    (row,) = (row for row in rows if row["name"] == name)
    assert row[key] == int(value), row


def expect_everywhere(play):
    """Expect the stored revision to be in force on each instance in time."""
    stored = read_stored(play)["revision"]

    def in_force():
        entries = play.entries.values()
        return all(e.get("/-/status")[1]["revision"] == stored for e in entries)

    poll(in_force, IN_FORCE_WITHIN)


def find_engines(play, centre):
    """Return name and process of each engine of a data centre."""
    rows = zip(play.engines, play.centres, strict=True)
    return [(f"engine-{i}", e) for i, (e, place) in enumerate(rows) if place == centre]


def reclaim_centre(play, centre, seconds):
    """Give notice to all instances of a data centre."""
    body = {"data_centre": centre, "seconds": int(seconds)}
    play.noticed_at[centre] = time.time()
    status, answer = play.deployment.cloud.post("/-/notice", body)
    assert status == 200 and answer["noticed"], answer


def reclaim_engines(play, centre, seconds):
    """Give notice to the engines of a data centre only."""
    for name, _ in find_engines(play, centre):
        body = {"name": name, "seconds": int(seconds)}
        assert play.deployment.cloud.post("/-/notice", body)[0] == 200


def take_engines(play, centre):
    """Kill a data centre's engines once their notice is over."""
    engines = find_engines(play, centre)
    names = {name for name, _ in engines}

    def gone():
        rows = play.deployment.cloud.record()["instances"]
        return not names & {row["name"] for row in rows}

    poll(gone, 20.0)
    for _, engine in engines:
        engine.kill()


def expect_centre_leaving(play, centre, entry):
    """Expect an instance to send nothing new to a data centre in time."""
    names = {name for name, _ in find_engines(play, centre)}

    def leaving():
        rows = play.entries[entry].get("/-/status")[1]["upstreams"]
        return names <= {row["name"] for row in rows if row["state"] == "leaving"}

    poll(leaving, NO_WORK_AFTER)


def wait_until_over(play, centre):
    """Wait until the cloud has taken the data centre's instances."""

    def gone():
        rows = play.deployment.cloud.record()["instances"]
        return not any(row["data_centre"] == centre for row in rows)

    poll(gone, 30.0)


def kill_engines(play, centre):
    """End the engines of a data centre at once."""
    for _, engine in find_engines(play, centre):
        engine.kill()


def expect_no_work(play, centre):
    """Expect that no attempt began in a data centre 3 s after its notice."""
    until = play.noticed_at[centre] + NO_WORK_AFTER
    for name, engine in find_engines(play, centre):
        late = [row for row in engine.record()["attempts"] if row["started"] > until]
        assert not late, (name, late)


class Load:
    """Callers behind a balancer that sends to ready instances; ``stop`` ends them."""

    def __init__(self, play):
        self.play = play
        self.over = threading.Event()
        self.served = 0
        self.harmed = []
        self.turns = itertools.count()

    def start(self, count):
        """Let so many callers fetch documents one after the other."""
        self.threads = [threading.Thread(target=self.run) for _ in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self):
        """Call until the load is over; keep what a caller would be harmed by."""
        while not self.over.is_set():
            entries = [e for e in list(self.play.entries.values()) if is_ready(e)]
            if entries:
                self.fetch(entries[next(self.turns) % len(entries)])

    def fetch(self, entry):
        """Make one call."""
        try:
            answer = call(entry.port, "GET", "/services/portal/d", b"", AUTHORISED)
        except ConnectionRefusedError:
            # No byte left: a balancer sends it to the next instance.
            return
        except (OSError, EOFError) as exc:
            self.harmed.append(repr(exc))
            return
        self.served += answer.status == 200
        if answer.status != 200 and answer.json().get("outcome") != "not_run":
            self.harmed.append(answer.raw)

    def stop(self):
        """End the callers."""
        self.over.set()
        for thread in self.threads:
            thread.join()


def is_ready(entry):
    """Tell whether a balancer would send to an instance."""
    if entry.popen.poll() is not None:
        return False
    try:
        return entry.get("/-/ready")[0] == 200
    except OSError:
        return False


def start_load(play, count):
    """Start callers and wait until they are served."""
    play.load = Load(play)
    play.load.start(int(count))
    poll(lambda: play.load.served >= int(count))


def expect_load(play):
    """Expect that the callers went on being served and none was harmed."""
    served = play.load.served
    poll(lambda: play.load.served > served + len(play.load.threads))
    play.load.stop()
    assert not play.load.harmed, play.load.harmed


STEPS = {
    "expect_revision": expect_revision,
    "expect_no_reversal": expect_no_reversal,
    "operator": start_operator,
    "expect_operator": expect_operator(DONE),
    "expect_operator_typed": expect_operator(DONE, CONFLICT),
    "expect_stored": expect_stored,
    "expect_everywhere": expect_everywhere,
    "reclaim_centre": reclaim_centre,
    "reclaim_engines": reclaim_engines,
    "take_engines": take_engines,
    "expect_centre_leaving": expect_centre_leaving,
    "when_over": wait_until_over,
    "kill_engines": kill_engines,
    "expect_no_work": expect_no_work,
    "load": start_load,
    "expect_load": expect_load,
}
