"""The language of the simulated scenarios: its grammar and its runner.

A note is a non-idempotent request with an idempotency key. The platform is the store
that holds the claims of the keys, the configuration and the leases.
"""

from pathlib import Path

import lark

from tests.world import EPOCH, Node, World

SCENARIOS = Path(__file__).parent / "scenarios"

GRAMMAR = r"""
start: _NL (_line _NL)*
_line: setup | event | expect
?setup: "instance" NAME "in" NAME              -> instance
    | "shards" INT                             -> shards
    | "engine" NAME "in" NAME                  -> engine
    | "engine" NAME "in" NAME "ignores" "fences" -> unfenced_engine
    | "work" "takes" TIME                      -> work
    | "seed" INT                               -> seed
    | "run" "for" TIME                         -> run_for
event: "at" TIME _action
_action: freeze | kill | boot | reclaim | cut | platform | send | publish | order
freeze: "freeze" NAME "for" TIME               -> freeze
    | "freeze" NAME "before" "it" "sends" "for" TIME -> freeze_before_send
kill: "kill" NAME
boot: "start" NAME
reclaim: "reclaim" "zone" NAME "notice" TIME
cut: "cut" "zone" NAME "for" TIME              -> cut
    | "cut" NAME "from" "platform" "for" TIME  -> cut
    | "cut" NAME "from" NAME "for" TIME        -> cut_pair
platform: "platform" "down" "for" TIME         -> down
    | "platform" "slow" TIME "for" TIME        -> slow
    | "platform" "delays" "writes" TIME "for" TIME -> delays
    | "platform" "drops" "writes" "for" TIME   -> drops
    | "platform" "loses" "answers" "for" TIME  -> loses
send: NAME "sent" "to" NAME                    -> send
    | NAME "altered" "sent" "to" NAME          -> send_altered
    | NAME "sent" "to" NAME "with" "a" "key" TIME "old" -> send_old
publish: "revision" INT "published"
order: NAME "orders" NAME "to" NAME
expect: "expect" outcome
?outcome: "effects" "of" NAME "=" INT          -> effects
    | "answers" "to" NAME "=" NAME ("," NAME)* -> answers
    | "last" "refusal" "of" NAME "within" TIME -> last_refusal
    | "every" "answer" "whole"                 -> whole
    | "not" "run" "only" "said" "when" "true"  -> not_run
    | "revision" "never" "reverts"             -> never_reverts
    | "revision" INT "everywhere" "at" TIME    -> revision_everywhere
    | "revision" INT "on" NAME "at" TIME       -> revision_on
    | NAME "not" "ready" "at" TIME             -> not_ready
    | NAME "hears" "one" "holder" "at" "a" "time" -> fences_in_order
    | "orders" "carried" "out" "by" NAME "=" INT -> order_count
    | "store" "writes" "<=" INT                -> store_writes
NAME: /[a-z][a-z0-9-]*/
TIME: /\d+(\.\d+)?(ms|s)/
_NL: /(\r?\n[ \t]*(#[^\n]*)?)+/
%import common.INT
%ignore /[ \t]+/
"""
PARSER = lark.Lark(GRAMMAR, parser="lalr")


def parse_seconds(text):
    """Return the seconds in a duration such as ``20ms``."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def schedule_event(world, event):
    """Schedule an event on the simulated clock."""
    at, action = event.children
    args = [str(arg) for arg in action.children]
    world.later(parse_seconds(at), EVENTS[action.data], world, *args)


def run(text):
    """Run a scenario; return one line of text for each failed expectation."""
    tree = PARSER.parse("\n" + text)
    world = World()
    duration = 60.0
    expectations = []
    for line in tree.children:
        if line.data == "event":
            schedule_event(world, line)
        elif line.data == "expect":
            expectations.append(line.children[0])
        elif line.data == "run_for":
            duration = parse_seconds(line.children[0])
        else:
            SETUPS[line.data](world, *line.children)
    world.start()
    world.run(duration)
    results = ((expect, check_expectation(world, expect)) for expect in expectations)
    return [f"{expect.data} {problem}" for expect, problem in results if problem]


def check_expectation(world, expect):
    """Return None if the expectation holds, else what was observed."""
    args = [str(arg) for arg in expect.children]
    return EXPECTS[expect.data](world, *args)


def reclaim_zone(world, zone, notice):
    """Kill all instances of a zone when the notice ends."""
    for node in world.nodes.values():
        if node.zone == zone:
            world.later(parse_seconds(notice), world.kill, node.name)


def make_fault_handler(name):
    """Return the handler of an event that sets a fault of the store for a while."""

    def apply(world, *times):
        *value, duration = [parse_seconds(time) for time in times]
        world.store.faults[name] = world.now + duration, value[0] if value else True

    return apply


def add_instance(world, name, zone):
    """Add an instance, which starts when the scenario does."""
    world.nodes[str(name)] = Node(world, str(name), str(zone))


SETUPS = {
    "instance": add_instance,
    "shards": lambda w, count: setattr(w, "cfg", w.cfg._replace(shards=int(count))),
    "engine": lambda w, name, zone: w.add_engine(str(name), str(zone)),
    "unfenced_engine": lambda w, name, zone: w.add_engine(str(name), str(zone), False),
    "work": lambda w, time: setattr(w, "work", parse_seconds(time)),
    "seed": lambda w, seed: w.rng.seed(int(seed)),
}
EVENTS = {
    "freeze": lambda w, name, time: w.freeze(name, parse_seconds(time)),
    "freeze_before_send": lambda w, name, time: setattr(
        w.nodes[name], "pause", parse_seconds(time)
    ),
    "kill": lambda w, name: w.kill(name),
    "boot": lambda w, name: w.nodes[name].boot(),
    "reclaim": reclaim_zone,
    "cut": lambda w, what, time: w.cut(what, parse_seconds(time)),
    "cut_pair": lambda w, name, peer, time: w.cut(
        frozenset([name, peer]), parse_seconds(time)
    ),
    "down": make_fault_handler("down"),
    "slow": make_fault_handler("slow"),
    "delays": make_fault_handler("delays"),
    "drops": make_fault_handler("drops"),
    "loses": make_fault_handler("loses"),
    "send": lambda w, note, name: w.send(note, name),
    "send_altered": lambda w, note, name: w.send(note, name, altered=True),
    "send_old": lambda w, note, name, age: w.send(note, name, age=parse_seconds(age)),
    "publish": lambda w, revision: w.publish(int(revision)),
    "order": lambda w, name, what, engine: w.give_order(name, what, engine),
}


def check_effects(world, note, count):
    """Check how many times a note took effect at the service."""
    seen = sum(effect.note == note for effect in world.effects)
    return None if seen == int(count) else f"{note}: {seen} effects, not {count}"


def check_answers(world, note, *kinds):
    """Check the kinds of the answers to a note, in the order of the requests."""
    seen = [call.kind or "nothing" for call in world.calls if call.note == note]
    return None if seen == list(kinds) else f"{note}: {seen}, not {list(kinds)}"


def check_last_refusal(world, note, limit):
    """Check that the last request of a note was refused, and how fast."""
    call = [call for call in world.calls if call.note == note][-1]
    if call.told is None:
        return f"{note}: {call.kind}"
    elapsed = call.told_at - call.sent_at
    return (
        None if elapsed <= parse_seconds(limit) else f"{note}: {elapsed * 1000:.0f} ms"
    )


def check_answers_whole(world):
    """Check that every request has an answer, and every body is from the service."""
    expected = {f"{e.note} bound by {e.operation}" for e in world.effects}
    calls = [call for call in world.calls if not call.cut]
    unanswered = [call.note for call in calls if call.kind is None]
    bodies = [call for call in calls if call.body is not None]
    wrong = [c.note for c in bodies if c.body not in expected or c.note not in c.body]
    return (
        f"unanswered: {unanswered}, wrong answers: {wrong}"
        if unanswered or wrong
        else None
    )


def check_not_run(world):
    """Check that no request ran whose caller was told that it was not run."""
    ran = {effect.operation for effect in world.effects}
    refused = [call for call in world.calls if call.told == "not_run"]
    false = [call.note for call in refused if call.operation in ran]
    return f"answered not_run, but ran: {false}" if false else None


def check_never_reverts(world):
    """Check that no instance returns to an older revision, even after a restart."""
    newest = {}
    for time, name, revision in world.in_force:
        if revision < newest.get(name, 0):
            at = time - EPOCH
            return f"{name} reverted from {newest[name]} to {revision} at {at:.1f}s"
        newest[name] = revision
    return None


def check_revision_everywhere(world, revision, time):
    """Check that all live instances serve the revision at this time."""
    at = EPOCH + parse_seconds(time)
    near = [served for served in world.in_force if abs(served[0] - at) < 0.05]
    seen = {name: number for _, name, number in near}
    live = [node.name for node in world.nodes.values() if node.alive]
    missing = [name for name in live if seen.get(name) != int(revision)]
    return f"revision {revision} missing on {missing}: {seen}" if missing else None


def check_revision_on(world, revision, name, time):
    """Check that one instance serves the revision at this time."""
    at = EPOCH + parse_seconds(time)
    near = [s[2] for s in world.in_force if s[1] == name and abs(s[0] - at) < 0.05]
    return None if near and near[-1] == int(revision) else f"{name} serves {near[-1:]}"


def check_not_ready(world, name, time):
    """Check that an instance isn't ready at this time."""
    at = EPOCH + parse_seconds(time)
    near = [s for s in world.in_force if s[1] == name and abs(s[0] - at) < 0.05]
    return f"{name} ready with {near[0][2]}" if near else None


def check_fences_in_order(world, engine):
    """Check that an engine never carries out an order with an older fencing number."""
    fences = [fence for _, name, _, fence in world.obeyed if name == engine]
    return None if fences == sorted(fences) else f"{engine} obeyed {fences}"


def check_order_count(world, engine, count):
    """Check the number of different orders that an engine carried out."""
    seen = len({order_id for _, name, order_id, _ in world.obeyed if name == engine})
    return None if seen == int(count) else f"{engine}: {seen} orders, not {count}"


def check_store_writes(world, limit):
    """Check that the store received at most this many writes."""
    seen = world.store.counts.get("Write", 0)
    return None if seen <= int(limit) else f"{seen} writes > {limit}"


EXPECTS = {
    "effects": check_effects,
    "answers": check_answers,
    "last_refusal": check_last_refusal,
    "whole": check_answers_whole,
    "not_run": check_not_run,
    "never_reverts": check_never_reverts,
    "revision_everywhere": check_revision_everywhere,
    "revision_on": check_revision_on,
    "not_ready": check_not_ready,
    "fences_in_order": check_fences_in_order,
    "order_count": check_order_count,
    "store_writes": check_store_writes,
}
