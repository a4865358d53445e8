"""The scenario language on real processes: steps follow each other, none is timed."""

import threading
import time
from pathlib import Path
from typing import NamedTuple

import lark

from chervilwing.documents import serialise
from chervilwing.models import MODEL, Address, Pool, Upstream
from tests.deployments import (
    AUTHORISED,
    Deployment,
    complete,
    make_configuration,
    new_key,
    read_stream,
)
from tests.fakes.tokens import expected_tokens
from tests.procs import HOST, call, poll, read_file

LIVE = Path(__file__).parent / "scenarios" / "live"
LOG_LINES = 8
SERVICE_PATH = "/services/portal"

GRAMMAR = r"""
start: _NL (step _NL)*
?step: "engines" INT "taking" MILLIS "a" "token"       -> engines
    | "engines" INT WORD "without" "models"            -> bare_engines
    | "services" INT                                   -> services
    | "entry" NAME "in" NAME                           -> entry
    | "stream" NAME "of" INT "tokens" "on" NAME        -> stream
    | "memo" NAME "of" INT "tokens" "on" NAME          -> memo
    | "note" NAME "on" NAME                            -> note
    | "note" NAME "without" "key" "on" NAME            -> plain_note
    | "document" NAME "on" NAME                        -> document
    | "when" NAME "has" INT "tokens"                   -> when
    | "when" NAME "is" "answered"                      -> when_answered
    | "kill" "engine" "of" NAME                        -> kill_engine
    | "freeze" "engine" "of" NAME                      -> freeze_engine
    | "reclaim" "engine" "of" NAME "with" INT "s" "notice" -> reclaim_engine
    | "reclaim" NAME "with" INT "s" "notice"           -> reclaim
    | "stop" NAME                                      -> stop
    | "kill" NAME                                      -> kill
    | "freeze" NAME                                    -> freeze
    | "resume" NAME                                    -> resume
    | "restart" NAME "in" NAME                         -> restart
    | "fault" GROUP WORD INT?                          -> fault
    | "fault" "engine" "of" NAME WORD                  -> fault_engine
    | "mend" GROUP WORD                                -> mend
    | "publish" "revision" INT                         -> publish
    | "publish" "revision" INT "with" "models" NAME ("," NAME)* -> publish_models
    | "freeze" "the" "holder"                          -> freeze_holder
    | "resume" "the" "holder"                          -> resume_holder
    | "when" "another" "holds"                         -> when_another_holds
    | "when" "no" "one" "holds"                        -> when_no_one_holds
    | "when" "the" "holder" "has" "revision" INT       -> when_holder_revision
    | "expect" "engines" "with" NAME                   -> expect_engines_with
    | "expect" "fences" "in" "order"                   -> expect_fences
    | "expect" "fences" "newer"                        -> expect_newer
    | "publish" "revision" INT "of" INT "KB"           -> publish_large
    | "when" NAME "has" "revision" INT                 -> when_revision
    | "expect" NAME "whole"                            -> expect_whole
    | "expect" "answers" "to" NAME "=" INT ("," INT)*  -> expect_answers
    | "expect" NAME "says" WORD                        -> expect_says
    | "expect" "effects" "of" NAME "=" INT             -> expect_effects
    | "expect" "calls" "of" NAME "=" INT               -> expect_calls
    | "expect" NAME "not" "ready"                      -> expect_not_ready
    | "expect" NAME "ready"                            -> expect_ready
    | "expect" NAME "ended"                            -> expect_ended
    | "expect" "engine" "of" NAME "leaving" "on" NAME  -> expect_leaving
    | "expect" NAME "not" "on" "engine" "of" NAME      -> expect_elsewhere
GROUP: "engines" | "services" | "store" | "cloud"
WORD: /[a-z][a-z_-]*/
NAME: /[a-z][a-z0-9-]*/
MILLIS: /\d+ms/
_NL: /(\r?\n[ \t]*(#[^\n]*)?)+/
%import common.INT
%ignore /[ \t]+/
"""
PARSER = lark.Lark(GRAMMAR, parser="earley")


class Sent(NamedTuple):
    """One request of a scenario's caller and what came of it."""

    kind: str
    prompt: str
    count: int
    answers: list


class Play:
    """State of one scenario on real processes."""

    def __init__(self):
        self.deployment = Deployment()
        self.engines = ()
        self.services = ()
        self.entries = {}
        self.sent = {}
        self.keys = {}
        self.version = 0
        self.fenced = True
        self.holder = None
        self.fences = ()

    def close(self):
        """End all processes."""
        self.deployment.close()

    def read_logs(self):
        """Return the last log lines of each entry instance."""
        return [
            f"{name}: {line}"
            for name, entry in self.entries.items()
            for line in read_file(entry.stderr).splitlines()[-LOG_LINES:]
        ]

    def upstreams(self):
        """Return the back ends as the configuration lists them."""
        return self.deployment.upstreams._replace(
            engines=self.engines, services=self.services
        )

    def find_engine(self, name):
        """Return the engine that runs a request, and its name, by its own record."""
        for number, engine in enumerate(self.engines):
            if engine.popen.poll() is None and self.attempts(engine, name):
                return engine, f"engine-{number}"
        raise AssertionError(f"no engine runs {name}")

    def attempts(self, engine, name):
        """Return the attempts at a request that an engine has seen."""
        prompt = self.sent[name].prompt
        rows = engine.record()["attempts"]
        return [row for row in rows if row["prompt"] == prompt]

    def group(self, name):
        """Return the stand-ins of one kind."""
        return {
            "engines": self.engines,
            "services": self.services,
            "store": (self.deployment.store,),
            "cloud": (self.deployment.cloud,),
        }[name]


def start_engines(play, count, pace):
    seconds = str(int(pace[:-2]) / 1000)
    options = ("--token-time", seconds)
    start = play.deployment.processes.start_fake
    play.engines = tuple(start("engine", *options) for _ in range(int(count)))


def start_bare_engines(play, count, kind):
    play.fenced = kind == "fenced"
    options = ("--models", "", f"--{kind}")
    start = play.deployment.processes.start_fake
    play.engines = tuple(start("engine", *options) for _ in range(int(count)))


def start_services(play, count):
    start = play.deployment.processes.start_fake
    play.services = tuple(start("service") for _ in range(int(count)))


def start_entry(play, name, centre):
    if not play.version:
        configuration = make_configuration(play.upstreams(), fenced=play.fenced)
        play.version = play.deployment.put_configuration(configuration)
        play.deployment.list_instances(configuration)
    play.entries[name] = play.deployment.start_entry(
        name, "--silence-timeout", "1.5", data_centre=centre
    )


def restart_entry(play, name, centre):
    play.entries[name] = play.deployment.start_entry(
        name, "--silence-timeout", "1.5", data_centre=centre, ready=False
    )


def publish(play, revision, *models):
    configuration = make_configuration(
        play.upstreams(), int(revision), "edit", models or ("memo",), play.fenced
    )
    play.version = play.deployment.put_configuration(configuration, play.version)


def find_holder(play, *besides):
    """Return the name of the entry instance that gives the engines' orders."""
    for name, entry in play.entries.items():
        if name in besides:
            continue
        state = entry.get("/-/status")[1]["orders"].get("engines")
        if state in ("settling", "holding"):
            return name
    return None


def freeze_holder(play):
    play.holder = poll(lambda: find_holder(play), 20.0)
    play.entries[play.holder].freeze()


def wait_for_no_holder(play):
    play.fences = [engine.record()["received"][-1]["fence"] for engine in play.engines]
    poll(lambda: find_holder(play) is None, 20.0)


def expect_engines_with(play, model):
    poll(lambda: all(model in item.record()["loaded"] for item in play.engines), 30.0)


def expect_fences(play):
    for engine in play.engines:
        fences = [row["fence"] for row in engine.record()["received"]]
        done = [row["fence"] for row in engine.record()["orders"] if row["done"]]
        assert len(set(done)) > 1, done
        assert done == sorted(done), done
        # A careless engine obeys whatever comes, so nothing old may come at all.
        assert play.fenced or fences == sorted(fences), fences


def expect_newer(play):
    for old, engine in zip(play.fences, play.engines, strict=True):
        fences = [row["fence"] for row in engine.record()["received"]]
        assert fences and min(fences) > old, (old, fences)


def publish_large(play, revision, size):
    configuration = make_configuration(play.upstreams(), int(revision), "edit")
    step = len(serialise(add_spares(configuration, 100)))
    step -= len(serialise(configuration))
    configuration = add_spares(configuration, int(size) * 100_000 // step + 1)
    assert len(serialise(configuration)) >= int(size) * 1000
    play.version = play.deployment.put_configuration(configuration, play.version)


def add_spares(configuration, count):
    """Return the configuration with a pool of upstreams that nobody uses."""
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
        sent = Sent(kind, f"prompt of {name}", int(count), [])
        play.sent[name] = sent
        entry = play.entries[entry]

        def run():
            stream = kind == "stream"
            answer = complete(entry, sent.prompt, sent.count, stream)
            sent.answers.append(answer)

        threading.Thread(target=run, daemon=True).start()

    return begin


def send_note(play, name, entry, keyed=True):
    sent = play.sent.setdefault(name, Sent("note", name, 0, []))
    key = play.keys.setdefault(name, new_key(time.time()))
    headers = AUTHORISED | ({"Idempotency-Key": key} if keyed else {})
    path = f"{SERVICE_PATH}/notes"
    port = play.entries[entry].port
    sent.answers.append(call(port, "POST", path, name.encode(), headers))


def send_plain_note(play, name, entry):
    send_note(play, name, entry, keyed=False)


def fetch_document(play, name, entry):
    sent = play.sent.setdefault(name, Sent("document", name, 0, []))
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
    row = {"name": name, "role": "entry", "data_centre": "a", "zone": "a"}
    row |= {"host": HOST, "port": play.entries[name].port}
    cloud = play.deployment.cloud
    assert cloud.post("/-/instances", {"instances": [row]})[0] == 200
    assert cloud.post("/-/notice", {"name": name, "seconds": int(seconds)})[0] == 200


def set_fault(play, group, fault, value=None):
    for process in play.group(group):
        process.fault(**{fault: True if value is None else int(value)})


def fault_engine(play, name, fault):
    play.find_engine(name)[0].fault(**{fault: True})


def mend_fault(play, group, fault):
    for process in play.group(group):
        process.fault(**{fault: None if group == "engines" else False})


def expect_whole(play, name):
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


def expect_says(play, name, outcome):
    problem = play.sent[name].answers[-1].json()
    assert problem["outcome"] == outcome, problem


def expect_effects(play, name, count):
    records = [service.record() for service in play.services]
    found = sum(record["by_body"].get(name, 0) for record in records)
    assert found == int(count), found


def expect_calls(play, name, count):
    records = [service.record() for service in play.services]
    calls = [item for record in records for item in record["calls"]]
    found = sum(item["body"] == name for item in calls)
    assert found == int(count), found


def expect_ready(play, name):
    poll(lambda: play.entries[name].get("/-/ready")[0] == 200)


def expect_not_ready(play, name):
    poll(lambda: play.entries[name].get("/-/ready")[0] == 503)


def expect_ended(play, name):
    assert play.entries[name].popen.wait(20) == 0


def expect_leaving(play, name, entry):
    _, upstream = play.find_engine(name)

    def leaving():
        rows = play.entries[entry].get("/-/status")[1]["upstreams"]
        return any(r["name"] == upstream and r["state"] == "leaving" for r in rows)

    poll(leaving, 3.0)


def expect_elsewhere(play, name, other):
    engine, _ = play.find_engine(other)
    rows = play.attempts(engine, name)
    assert not rows, rows


STEPS = {
    "engines": start_engines,
    "bare_engines": start_bare_engines,
    "services": start_services,
    "entry": start_entry,
    "restart": restart_entry,
    "publish": publish,
    "publish_models": publish,
    "freeze_holder": freeze_holder,
    "resume_holder": lambda play: play.entries[play.holder].resume(),
    "when_another_holds": lambda play: poll(
        lambda: find_holder(play, play.holder), 30.0
    ),
    "when_no_one_holds": wait_for_no_holder,
    "when_holder_revision": lambda play, number: wait_for_revision(
        play, play.holder, number
    ),
    "expect_engines_with": expect_engines_with,
    "expect_fences": expect_fences,
    "expect_newer": expect_newer,
    "publish_large": publish_large,
    "stream": start_model_call("stream"),
    "memo": start_model_call("memo"),
    "note": send_note,
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
    "fault": set_fault,
    "fault_engine": fault_engine,
    "mend": mend_fault,
    "expect_whole": expect_whole,
    "expect_answers": expect_answers,
    "expect_says": expect_says,
    "expect_effects": expect_effects,
    "expect_calls": expect_calls,
    "expect_ready": expect_ready,
    "expect_not_ready": expect_not_ready,
    "expect_ended": expect_ended,
    "expect_leaving": expect_leaving,
    "expect_elsewhere": expect_elsewhere,
}


def run(text):
    """Play a scenario on processes of its own; AssertionError names the step."""
    tree = PARSER.parse("\n" + text)
    play = Play()
    try:
        for step in tree.children:
            args = [str(arg) for arg in step.children if arg is not None]
            try:
                STEPS[step.data](play, *args)
            except AssertionError as exc:
                logs = "\n".join(play.read_logs())
                raise AssertionError(f"{step.data} {args}: {exc}\n{logs}") from exc
    finally:
        play.close()
