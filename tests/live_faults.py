"""Steps of the live scenarios that act on networks, operators and many callers."""

import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from tests.deployments import complete
from tests.fakes.tokens import expected_tokens
from tests.procs import HOST, poll

EVERYWHERE = ""
BETWEEN = ("", "entries")
RETRIED = "/in-progress"


def join_network(play, *where):
    """Put a relay before each process of a group, for one data centre or for all."""
    *centre, group = where
    start = play.deployment.processes.start_fake
    play.networks[(centre[0] if centre else EVERYWHERE, group)] = tuple(
        start("relay", "--to", f"{HOST}:{process.port}")
        for process in play.group(group)
    )


def set_network(fault, value):
    """Return the step that sets a fault of a network."""

    def act(play, *where):
        *centre, group = where
        key = (centre[0] if centre else EVERYWHERE, group)
        for relay in play.networks[key]:
            relay.fault(**{fault: value})

    return act


def join_peers(play):
    """Let each entry instance that starts from now on be dialled through a relay."""
    relays = play.networks[BETWEEN] = []

    def add():
        relays.append(play.deployment.processes.start_fake("relay"))
        return relays[-1]

    play.peers_behind = add


def set_between(cut):
    """Return the step that cuts or joins the entry instances' streams."""

    def act(play):
        for relay in play.networks[BETWEEN]:
            relay.fault(cut=cut)

    return act


def send_crowd(play, count, tokens, entry):
    """Let many callers with prompts of their own call at once."""
    count, tokens, entry = int(count), int(tokens), play.entries[entry]
    prompts = [f"prompt of caller {number}" for number in range(count)]
    pool = ThreadPoolExecutor(count)

    def ask(prompt):
        return prompt, complete(entry, prompt, tokens)

    play.crowd = [pool.submit(ask, prompt) for prompt in prompts]
    play.crowd_tokens = tokens
    threading.Thread(target=pool.shutdown, daemon=True).start()


def expect_crowd(play):
    """Expect that each caller got its own whole answer."""
    for fut in play.crowd:
        prompt, answer = fut.result(30)
        assert answer.status == 200, (prompt, answer.body)
        text = "".join(expected_tokens("memo", prompt, play.crowd_tokens))
        assert answer.json()["choices"][0]["text"] == text, (prompt, answer.body)


def expect_no_crossing(play):
    """Expect that each caller got its own whole answer or a failure without text."""
    for fut in play.crowd:
        prompt, answer = fut.result(30)
        if answer.status != 200:
            assert "choices" not in answer.json(), (prompt, answer.body)
            continue
        text = "".join(expected_tokens("memo", prompt, play.crowd_tokens))
        assert answer.json()["choices"][0]["text"] == text, (prompt, answer.body)


def send_until_done(play, name, entry):
    """Send a note under one key until it is answered; each refusal is typed."""

    def done():
        play.send_note(name, entry)
        answer = play.sent[name].answers[-1]
        if answer.status == 200:
            return True
        problem = answer.json()
        fine = problem["outcome"] == "not_run" or problem["type"].endswith(RETRIED)
        assert fine, problem
        return False

    poll(done, 16.0)


def send_notes(play, count, entry):
    """Send notes one after the other, each until it is answered."""
    for number in range(int(count)):
        send_until_done(play, f"n-{number}", entry)


def begin_note(play, name, entry):
    """Send a note and don't wait for its answer."""

    def run():
        # Its entry instance may be killed: then there is no answer to keep.
        with suppress(EOFError):
            play.send_note(name, entry)

    threading.Thread(target=run, daemon=True).start()


def begin_notes(play, count, entry):
    """Send many notes at once and don't wait for their answers."""
    for number in range(int(count)):
        begin_note(play, f"n-{number}", entry)


def wait_for_call(play, name):
    """Wait until a service has a note, whatever becomes of it."""
    poll(lambda: count_calls(play)[name])


def wait_for_effect(play, name):
    """Wait until a note has taken effect."""
    records = lambda: [item.record()["by_body"] for item in play.services]
    poll(lambda: any(name in record for record in records()))


def wait_for_notes(play):
    """Wait until every note has an answer."""
    poll(lambda: all(sent.answers for sent in find_notes(play)), 20.0)


def find_notes(play):
    """Return the notes that were sent."""
    return [sent for sent in list(play.sent.values()) if sent.kind == "note"]


def count_calls(play):
    """Return how often each body came to the services."""
    records = [service.record() for service in play.services]
    return Counter(item["body"] for record in records for item in record["calls"])


def expect_effect_each(play):
    """Expect that each note took effect once."""
    records = [service.record()["by_body"] for service in play.services]
    for sent in find_notes(play):
        found = sum(record.get(sent.prompt, 0) for record in records)
        assert found == 1, (sent.prompt, found)


def expect_call_each(play):
    """Expect that no note came to the services twice."""
    calls = count_calls(play)
    again = {name: count for name, count in calls.items() if count > 1}
    assert not again, again


def expect_notes_whole(play):
    """Expect that each note's last answer is the service's."""
    wait_for_notes(play)
    found = {sent.prompt: sent.answers[-1].status for sent in find_notes(play)}
    assert set(found.values()) == {200}, found


def wait_for_crowd(play):
    """Wait until an engine works for the crowd."""
    poll(lambda: any(item.record()["attempts"] for item in play.engines))


STEPS = {
    "network": join_network,
    "silence": set_network("silent", True),
    "cut": set_network("cut", True),
    "join": set_network("cut", False),
    "network_between": join_peers,
    "cut_between": set_between(True),
    "join_between": set_between(False),
    "crowd": send_crowd,
    "when_crowd": wait_for_crowd,
    "expect_crowd": expect_crowd,
    "expect_no_crossing": expect_no_crossing,
    "note_until": send_until_done,
    "notes": send_notes,
    "begin_note": begin_note,
    "begin_notes": begin_notes,
    "when_called": wait_for_call,
    "when_booked": wait_for_effect,
    "when_notes": wait_for_notes,
    "expect_effect_each": expect_effect_each,
    "expect_call_each": expect_call_each,
    "expect_notes_whole": expect_notes_whole,
}
