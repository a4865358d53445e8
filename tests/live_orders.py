"""Steps of the live scenarios for the instance that gives orders to engines."""

from tests.procs import poll


def start_engines_without_models(play, count, kind):
    play.fenced = kind == "fenced"
    options = ("--models", "", f"--{kind}")
    start = play.deployment.processes.start_fake
    play.engines = tuple(start("engine", *options) for _ in range(int(count)))


def find_holder(play, *excluded):
    """Return the entry instance that holds the lease to send orders, or None."""
    for name, entry in play.entries.items():
        if name in excluded:
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


def expect_fences_in_order(play):
    for engine in play.engines:
        fences = [row["fence"] for row in engine.record()["received"]]
        done = [row["fence"] for row in engine.record()["orders"] if row["done"]]
        assert len(set(done)) > 1, done
        assert done == sorted(done), done
        # An engine without fencing obeys every order, so it must receive none with an
        # older token.
        assert play.fenced or fences == sorted(fences), fences


def expect_newer_fences(play):
    for old, engine in zip(play.fences, play.engines, strict=True):
        fences = [row["fence"] for row in engine.record()["received"]]
        assert fences and min(fences) > old, (old, fences)


def wait_for_revision(play, number):
    """Wait until the frozen holder has applied a revision."""
    entry = play.entries[play.holder]
    poll(lambda: entry.get("/-/status")[1]["revision"] == int(number), 16.0)


STEPS = {
    "bare_engines": start_engines_without_models,
    "freeze_holder": freeze_holder,
    "resume_holder": lambda play: play.entries[play.holder].resume(),
    "when_another_holds": lambda play: poll(
        lambda: find_holder(play, play.holder), 30.0
    ),
    "when_no_one_holds": wait_for_no_holder,
    "expect_engines_with": expect_engines_with,
    "expect_fences": expect_fences_in_order,
    "expect_newer": expect_newer_fences,
    "when_holder_revision": wait_for_revision,
}
