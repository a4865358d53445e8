"""Steps of the live scenarios for networks, many callers and notes."""

import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from tests.deployments import complete
from tests.fakes.tokens import expected_tokens
from tests.procs import HOST, poll

ALL_DATA_CENTRES = ""
PEER_NETWORK = ("", "entries")
IN_PROGRESS_SUFFIX = "/in-progress"


def start_relays(play, *where):
    """Start a relay to each process of a group, for one data centre or for all."""
    *centre, group = where
    start = play.deployment.processes.start_fake
    play.networks[(centre[0] if centre else ALL_DATA_CENTRES, group)] = tuple(
        start("relay", "--to", f"{HOST}:{process.port}")
        for process in play.group(group)
    )


def make_network_step(fault, value):
    """Return the step that sets a fault on a group's relays."""

    def step(play, *where):
        *centre, group = where
        key = (centre[0] if centre else ALL_DATA_CENTRES, group)
        for relay in play.networks[key]:
            relay.fault(**{fault: value})

    return step


def start_peer_relays(play):
    """Give each entry instance that starts later a relay for its peers' connections."""
    relays = play.networks[PEER_NETWORK] = []

    def add():
        relays.append(play.deployment.processes.start_fake("relay"))
        return relays[-1]

    play.start_peer_relay = add


def make_peer_network_step(cut):
    """Return the step that cuts or restores the connections between entry instances."""

    def step(play):
        for relay in play.networks[PEER_NETWORK]:
            relay.fault(cut=cut)

    return step


def start_callers(play, count, tokens, entry):
    """Start ``count`` concurrent callers, each with its own prompt."""
    count, tokens, entry = int(count), int(tokens), play.entries[entry]
    prompts = [f"prompt of caller {number}" for number in range(count)]
    pool = ThreadPoolExecutor(count)

    def ask(prompt):
        return prompt, complete(entry, prompt, tokens)

    play.caller_futures = [pool.submit(ask, prompt) for prompt in prompts]
    play.caller_tokens = tokens
    threading.Thread(target=pool.shutdown, daemon=True).start()


def expect_all_answered(play):
    """Expect that each caller got its own complete answer."""
    for fut in play.caller_futures:
        prompt, answer = fut.result(30)
        assert answer.status == 200, (prompt, answer.body)
        text = "".join(expected_tokens("memo", prompt, play.caller_tokens))
        assert answer.json()["choices"][0]["text"] == text, (prompt, answer.body)


def expect_no_mixed_answers(play):
    """Expect that each caller got its own complete answer or an error without text."""
    for fut in play.caller_futures:
        prompt, answer = fut.result(30)
        if answer.status != 200:
            assert "choices" not in answer.json(), (prompt, answer.body)
            continue
        text = "".join(expected_tokens("memo", prompt, play.caller_tokens))
        assert answer.json()["choices"][0]["text"] == text, (prompt, answer.body)


def send_until_done(play, name, entry):
    """Send a note with one key until status 200; check the type of each refusal."""

    def done():
        play.send_note(name, entry)
        answer = play.sent[name].answers[-1]
        if answer.status == 200:
            return True
        problem = answer.json()
        expected = problem["outcome"] == "not_run" or problem["type"].endswith(
            IN_PROGRESS_SUFFIX
        )
        assert expected, problem
        return False

    poll(done, 16.0)


def send_notes(play, count, entry):
    """Send notes in sequence, each until it is answered."""
    for number in range(int(count)):
        send_until_done(play, f"n-{number}", entry)


def start_note(play, name, entry):
    """Send a note and don't wait for its answer."""

    def run():
        # If the entry instance is killed, there is no answer to keep.
        with suppress(EOFError):
            play.send_note(name, entry)

    threading.Thread(target=run, daemon=True).start()


def start_notes(play, count, entry):
    """Send many notes at once and don't wait for their answers."""
    for number in range(int(count)):
        start_note(play, f"n-{number}", entry)


def wait_for_call(play, name):
    """Wait until a service has received a note."""
    poll(lambda: count_calls(play)[name])


def wait_for_effect(play, name):
    """Wait until a note has taken effect."""
    records = lambda: [item.record()["by_body"] for item in play.services]
    poll(lambda: any(name in record for record in records()))


def wait_for_notes(play):
    """Wait until every note has an answer."""
    poll(lambda: all(sent.answers for sent in find_notes(play)), 20.0)


def find_notes(play):
    """Return the requests of kind ``note``."""
    return [sent for sent in list(play.sent.values()) if sent.kind == "note"]


def count_calls(play):
    """Return how often the services received each body."""
    records = [service.record() for service in play.services]
    return Counter(item["body"] for record in records for item in record["calls"])


def expect_one_effect_each(play):
    """Expect that each note took effect exactly once."""
    records = [service.record()["by_body"] for service in play.services]
    for sent in find_notes(play):
        found = sum(record.get(sent.prompt, 0) for record in records)
        assert found == 1, (sent.prompt, found)


def expect_one_call_each(play):
    """Expect that the services received no note twice."""
    calls = count_calls(play)
    repeated = {name: count for name, count in calls.items() if count > 1}
    assert not repeated, repeated


def expect_all_notes_answered(play):
    """Expect that each note's last answer has status 200."""
    wait_for_notes(play)
    found = {sent.prompt: sent.answers[-1].status for sent in find_notes(play)}
    assert set(found.values()) == {200}, found


def wait_until_engines_work(play):
    """Wait until an engine has received an attempt."""
    poll(lambda: any(item.record()["attempts"] for item in play.engines))


STEPS = {
    "network": start_relays,
    "silence": make_network_step("silent", True),
    "cut": make_network_step("cut", True),
    "join": make_network_step("cut", False),
    "network_between": start_peer_relays,
    "cut_between": make_peer_network_step(True),
    "join_between": make_peer_network_step(False),
    "crowd": start_callers,
    "when_crowd": wait_until_engines_work,
    "expect_crowd": expect_all_answered,
    "expect_no_crossing": expect_no_mixed_answers,
    "note_until": send_until_done,
    "notes": send_notes,
    "begin_note": start_note,
    "begin_notes": start_notes,
    "when_called": wait_for_call,
    "when_booked": wait_for_effect,
    "when_notes": wait_for_notes,
    "expect_effect_each": expect_one_effect_each,
    "expect_call_each": expect_one_call_each,
    "expect_notes_whole": expect_all_notes_answered,
}
