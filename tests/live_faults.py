"""Steps of the live scenarios that act on networks, operators and many callers."""

import threading
from concurrent.futures import ThreadPoolExecutor

from tests.deployments import complete
from tests.fakes.tokens import expected_tokens
from tests.procs import HOST, poll

EVERYWHERE = ""
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


def wait_for_crowd(play):
    """Wait until an engine works for the crowd."""
    poll(lambda: any(item.record()["attempts"] for item in play.engines))


STEPS = {
    "network": join_network,
    "silence": set_network("silent", True),
    "cut": set_network("cut", True),
    "join": set_network("cut", False),
    "crowd": send_crowd,
    "when_crowd": wait_for_crowd,
    "expect_crowd": expect_crowd,
    "expect_no_crossing": expect_no_crossing,
    "note_until": send_until_done,
}
