"""Run live scenarios: each step waits for a condition, not for a time."""

import threading
import time
from pathlib import Path
from typing import NamedTuple

import lark

from chervilwing.documents import serialise
from chervilwing.models import MODEL, Address, Pool, Upstream
from tests import live_faults, live_fleet, live_orders, resuming
from tests.deployments import (
    AUTHORISED,
    Deployment,
    complete,
    make_configuration,
    new_key,
    read_stream,
)
from tests.fakes.tokens import expected_tokens
from tests.procs import HOST, Process, call, poll, read_file

LIVE = Path(__file__).parent / "scenarios" / "live"
LOG_LINES = 8
SERVICE_PATH = "/services/portal"

GRAMMAR = LIVE.with_suffix(".lark")
PARSER = lark.Lark(GRAMMAR.read_text(), parser="earley")


class SentRequest(NamedTuple):
    """One request of a scenario and the answers to it.

    ``kind`` is ``stream`` or ``memo`` for a model call with or without streaming,
    ``note`` for a non-idempotent service call and ``document`` for an idempotent one.
    ``prompt`` of a service call is the request's name, and its ``count`` is 0.
    """

    kind: str
    prompt: str
    count: int
    answers: list


class ScenarioRun:
    """State of one scenario that runs on real processes."""

    def __init__(self):
        self.deployment = Deployment()
        self.engines = ()
        self.services = ()
        self.entries = {}
        self.sent = {}
        self.readers = {}
        self.keys = {}
        self.version = 0
        self.networks = {}
        self.caller_futures = ()
        self.centres = []
        self.start_peer_relay = None
        self.operators = {}
        self.notice_times = {}
        self.load = None
        self.caller_tokens = 0
        self.fenced = True
        self.holder = None
        self.fences = ()

    def close(self):
        """End all processes."""
        if self.load is not None:
            self.load.stop()
        self.deployment.close()

    def read_logs(self):
        """Return the last log lines of each entry instance."""
        return [
            f"{name} ({entry.popen.poll()}): {line}"
            for name, entry in self.entries.items()
            for line in read_file(entry.stderr).splitlines()[-LOG_LINES:]
        ]

    def send_note(self, name, entry, keyed=True):
        """Call the non-idempotent path, with one key per note, and keep the answer."""
        sent = self.sent.setdefault(name, SentRequest("note", name, 0, []))
        key = self.keys.setdefault(name, new_key(time.time()))
        headers = AUTHORISED | ({"Idempotency-Key": key} if keyed else {})
        path = f"{SERVICE_PATH}/notes"
        port = self.entries[entry].port
        sent.answers.append(call(port, "POST", path, name.encode(), headers))

    def upstreams(self):
        """Return the upstreams with the addresses that the configuration lists."""
        return self.deployment.upstreams._replace(
            engines=self.find_reachable("engines"),
            services=self.find_reachable("services"),
        )

    def find_reachable(self, group, centre=""):
        """Return the processes or relays to which a data centre connects."""
        networks = self.networks
        found = networks.get((centre, group)) or networks.get(("", group))
        return found or self.group(group)

    def find_engine(self, name):
        """Return the engine whose record has an attempt at a request, and its name."""
        for number, engine in enumerate(self.engines):
            if engine.popen.poll() is None and self.attempts(engine, name):
                return engine, f"engine-{number}"
        raise AssertionError(f"no engine runs {name}")

    def attempts(self, engine, name):
        """Return the attempts at a request from an engine's record."""
        prompt = (self.sent.get(name) or self.readers[name]).prompt
        rows = engine.record()["attempts"]
        return [row for row in rows if row["prompt"] == prompt]

    def group(self, name):
        """Return the fake processes of one kind."""
        return {
            "engines": self.engines,
            "services": self.services,
            "store": (self.deployment.store,),
            "cloud": (self.deployment.cloud,),
        }[name]


def start_engines(play, count, pace, centre="a"):
    seconds = str(int(pace[:-2]) / 1000)
    options = ("--token-time", seconds)
    start = play.deployment.processes.start_fake
    play.engines += tuple(start("engine", *options) for _ in range(int(count)))
    play.centres += [centre] * int(count)


def start_services(play, count):
    start = play.deployment.processes.start_fake
    play.services = tuple(start("service") for _ in range(int(count)))


def start_entry(play, name, centre):
    if not play.version:
        configuration = make_configuration(
            play.upstreams(), centres=play.centres, fenced=play.fenced
        )
        play.version = play.deployment.put_configuration(configuration)
        play.deployment.list_instances(configuration)
    launch_entry(play, name, centre, ready=True)


def restart_entry(play, name, centre):
    launch_entry(play, name, centre, ready=False)


def launch_entry(play, name, centre, ready):
    play.entries[name] = play.deployment.start_entry(
        *(name, "--silence-timeout", "1.5"),
        data_centre=centre,
        store=play.find_reachable("store", centre)[0],
        cloud=play.find_reachable("cloud", centre)[0],
        peer=play.start_peer_relay and play.start_peer_relay(),
        ready=ready,
    )
    row = {"name": name, "role": "entry", "data_centre": centre, "zone": centre}
    row |= {"host": HOST, "port": play.entries[name].port}
    assert play.deployment.cloud.post("/-/instances", {"instances": [row]})[0] == 200


def make_signal_step(action):
    def step(play, group):
        for process in play.group(group):
            action(process)

    return step


def publish(play, revision, *models):
    configuration = make_configuration(
        play.upstreams(),
        int(revision),
        "edit",
        play.centres,
        models or ("memo",),
        play.fenced,
    )
    play.version = play.deployment.put_configuration(configuration, play.version)


def publish_large(play, revision, size):
    configuration = make_configuration(play.upstreams(), int(revision), "edit")
    step = len(serialise(add_spares(configuration, 100)))
    step -= len(serialise(configuration))
    configuration = add_spares(configuration, int(size) * 100_000 // step + 1)
    assert len(serialise(configuration)) >= int(size) * 1000
    play.version = play.deployment.put_configuration(configuration, play.version)


def add_spares(configuration, count):
    """Return the configuration with a further pool of unused upstreams."""
    inventory = configuration.inventory
    pool = Pool("spares", MODEL, ("spare",))
    rows = [
        Upstream(f"spare-{n:03}", MODEL, pool.name, Address(HOST, n), "a")
        for n in range(1, count + 1)
    ]
    inventory = inventory._replace(
        pools=(*inventory.pools, pool), upstreams=(*inventory.upstreams, *rows)
    )
    return configuration._replace(inventory=inventory)


def start_model_call(kind):
    def begin(play, name, count, entry):
        sent = SentRequest(kind, f"prompt of {name}", int(count), [])
        play.sent[name] = sent
        entry = play.entries[entry]

        def run():
            stream = kind == "stream"
            answer = complete(entry, sent.prompt, sent.count, stream)
            sent.answers.append(answer)

        threading.Thread(target=run, daemon=True).start()

    return begin


def send_plain_note(play, name, entry):
    play.send_note(name, entry, keyed=False)


def fetch_document(play, name, entry):
    sent = play.sent.setdefault(name, SentRequest("document", name, 0, []))
    port = play.entries[entry].port
    sent.answers.append(call(port, "GET", f"{SERVICE_PATH}/{name}", b"", AUTHORISED))


def wait_for_tokens(play, name, count):
    def sent():
        rows = [row for item in play.engines for row in play.attempts(item, name)]
        return any(row["sent"] >= int(count) for row in rows)

    poll(sent)


def wait_for_answer(play, name):
    poll(lambda: play.sent[name].answers, 30.0)


def wait_for_revision(play, name, revision):
    entry = play.entries[name]
    poll(lambda: entry.get("/-/status")[1]["revision"] == int(revision), 16.0)


def reclaim_engine(play, name, seconds):
    _, upstream = play.find_engine(name)
    body = {"name": upstream, "seconds": int(seconds)}
    assert play.deployment.cloud.post("/-/notice", body)[0] == 200


def reclaim(play, name, seconds):
    cloud = play.deployment.cloud
    assert cloud.post("/-/notice", {"name": name, "seconds": int(seconds)})[0] == 200


def set_fault(play, group, fault, value=None):
    for process in play.group(group):
        process.fault(**{fault: True if value is None else int(value)})


def fault_first(play, group, fault, value):
    play.group(group)[0].fault(**{fault: int(value)})


def fault_engine(play, name, fault):
    play.find_engine(name)[0].fault(**{fault: True})


def clear_fault(play, group, fault):
    for process in play.group(group):
        process.fault(**{fault: None if group == "engines" else False})


def expect_complete_answer(play, name):
    wait_for_answer(play, name)
    sent = play.sent[name]
    answer = sent.answers[-1]
    text = "".join(expected_tokens("memo", sent.prompt, sent.count))
    if sent.kind == "stream":
        found = (answer.whole, *read_stream(answer))
        assert found == (True, text, True), found
        return
    assert answer.status == 200, answer.body
    if sent.kind == "memo":
        assert answer.json()["choices"][0]["text"] == text, answer.body


def expect_answers(play, name, *statuses):
    found = [answer.status for answer in play.sent[name].answers]
    assert found == [int(status) for status in statuses], found


def expect_outcome(play, name, outcome):
    problem = play.sent[name].answers[-1].json()
    assert problem.get("outcome") == outcome, problem


def expect_effects(play, name, count):
    records = [service.record() for service in play.services]
    found = sum(record["by_body"].get(name, 0) for record in records)
    assert found == int(count), found


def expect_recomputed(play, name, most):
    rows = [row for item in play.engines for row in play.attempts(item, name)]
    found = [row["recomputed"] for row in rows]
    assert len(rows) > 1, "no other engine resumed it"
    assert sum(found) <= int(most), found


def expect_attempt_count(play, name, count):
    rows = [row for item in play.engines for row in play.attempts(item, name)]
    assert len(rows) == int(count), rows


def expect_calls(play, name, count):
    records = [service.record() for service in play.services]
    calls = [item for record in records for item in record["calls"]]
    found = sum(item["body"] == name for item in calls)
    assert found == int(count), found


def expect_ready(play, name):
    poll(lambda: play.entries[name].get("/-/ready")[0] == 200)


def expect_not_ready(play, name):
    poll(lambda: play.entries[name].get("/-/ready")[0] == 503)


def expect_clean_exit(play, name):
    assert play.entries[name].popen.wait(20) == 0


def expect_leaving(play, name, entry):
    _, upstream = play.find_engine(name)

    def leaving():
        rows = play.entries[entry].get("/-/status")[1]["upstreams"]
        return any(r["name"] == upstream and r["state"] == "leaving" for r in rows)

    poll(leaving, 3.0)


def expect_not_on_engine_of(play, name, other):
    engine, _ = play.find_engine(other)
    rows = play.attempts(engine, name)
    assert not rows, rows


STEPS = {
    **resuming.STEPS,
    "engines": start_engines,
    "services": start_services,
    "entry": start_entry,
    "restart": restart_entry,
    "publish": publish,
    "publish_models": publish,
    "publish_large": publish_large,
    "stream": start_model_call("stream"),
    "memo": start_model_call("memo"),
    "note": ScenarioRun.send_note,
    "plain_note": send_plain_note,
    "document": fetch_document,
    "when": wait_for_tokens,
    "when_answered": wait_for_answer,
    "when_revision": wait_for_revision,
    "kill_engine": lambda play, name: play.find_engine(name)[0].kill(),
    "freeze_engine": lambda play, name: play.find_engine(name)[0].freeze(),
    "reclaim_engine": reclaim_engine,
    "reclaim": reclaim,
    "stop": lambda play, name: play.entries[name].popen.terminate(),
    "kill": lambda play, name: play.entries[name].kill(),
    "freeze": lambda play, name: play.entries[name].freeze(),
    "resume": lambda play, name: play.entries[name].resume(),
    "freeze_group": make_signal_step(Process.freeze),
    "resume_group": make_signal_step(Process.resume),
    "fault": set_fault,
    "fault_first": fault_first,
    "fault_engine": fault_engine,
    "mend": clear_fault,
    "expect_whole": expect_complete_answer,
    "expect_answers": expect_answers,
    "expect_says": expect_outcome,
    "expect_effects": expect_effects,
    "expect_recomputed": expect_recomputed,
    "expect_tried": expect_attempt_count,
    "expect_calls": expect_calls,
    "expect_ready": expect_ready,
    "expect_not_ready": expect_not_ready,
    "expect_ended": expect_clean_exit,
    "expect_leaving": expect_leaving,
    "expect_elsewhere": expect_not_on_engine_of,
    **live_faults.STEPS,
    **live_fleet.STEPS,
    **live_orders.STEPS,
}


def run(text):
    """Run a scenario on processes of its own; AssertionError names the step."""
    tree = PARSER.parse("\n" + text)
    play = ScenarioRun()
    try:
        for step in tree.children:
            args = [str(arg) for arg in step.children if arg is not None]
            try:
                STEPS[step.data](play, *args)
            except (AssertionError, OSError) as exc:
                logs = "\n".join(play.read_logs())
                raise AssertionError(f"{step.data} {args}: {exc}\n{logs}") from exc
    finally:
        play.close()
