"""The scenario language: its grammar, and the runner on the simulated world."""

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
    | "engine" NAME "in" NAME "ignores" "fences" -> careless_engine
    | "work" "takes" TIME                      -> work
    | "seed" INT                               -> seed
    | "run" "for" TIME                         -> run_for
event: "at" TIME _action
_action: freeze | kill | boot | reclaim | cut | platform | send | publish | order
freeze: "freeze" NAME "for" TIME               -> freeze
    | "freeze" NAME "before" "it" "sends" "for" TIME -> freeze_late
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
    | "last" "refusal" "of" NAME "within" TIME -> refusal
    | "every" "answer" "whole"                 -> whole
    | "not" "run" "only" "said" "when" "true"  -> not_run
    | "revision" "never" "reverts"             -> never_reverts
    | "revision" INT "everywhere" "at" TIME    -> everywhere
    | "revision" INT "on" NAME "at" TIME       -> on_one
    | NAME "not" "ready" "at" TIME             -> not_ready
    | NAME "hears" "one" "holder" "at" "a" "time" -> one_holder
    | "orders" "carried" "out" "by" NAME "=" INT -> carried_out
    | "store" "writes" "<=" INT                -> writes
NAME: /[a-z][a-z0-9-]*/
TIME: /\d+(\.\d+)?(ms|s)/
_NL: /(\r?\n[ \t]*(#[^\n]*)?)+/
%import common.INT
%ignore /[ \t]+/
"""
PARSER = lark.Lark(GRAMMAR, parser="lalr")


def read_time(text):
    """Return the seconds in a time such as ``20ms``."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def schedule(world, event):
    """Put an event on the world's clock."""
    at, action = event.children
    args = [str(arg) for arg in action.children]
    world.later(read_time(at), EVENTS[action.data], world, *args)


def run(text):
    """Play a scenario; return the expectations that fail, as text."""
    tree = PARSER.parse("\n" + text)
    world = World()
    length = 60.0
    expects = []
    for line in tree.children:
        if line.data == "event":
            schedule(world, line)
        elif line.data == "expect":
            expects.append(line.children[0])
        elif line.data == "run_for":
            length = read_time(line.children[0])
        else:
            SETUPS[line.data](world, *line.children)
    world.start()
    world.run(length)
    results = ((expect, check(world, expect)) for expect in expects)
    return [f"{expect.data} {wrong}" for expect, wrong in results if wrong]


def check(world, expect):
    """Return None if the expectation holds, else what was seen."""
    args = [str(arg) for arg in expect.children]
    return EXPECTS[expect.data](world, *args)


def reclaim(world, zone, notice):
    """End all instances of a zone after the notice."""
    for node in world.nodes.values():
        if node.zone == zone:
            world.later(read_time(notice), world.kill, node.name)


def set_fault(name):
    """Return an event that sets a fault of the store."""

    def act(world, *times):
        *value, length = [read_time(time) for time in times]
        world.store.faults[name] = world.now + length, value[0] if value else True

    return act


def add_instance(world, name, zone):
    """Add an instance, started with the scenario."""
    world.nodes[str(name)] = Node(world, str(name), str(zone))


SETUPS = {
    "instance": add_instance,
    "shards": lambda w, count: setattr(w, "cfg", w.cfg._replace(shards=int(count))),
    "engine": lambda w, name, zone: w.add_engine(str(name), str(zone)),
    "careless_engine": lambda w, name, zone: w.add_engine(str(name), str(zone), False),
    "work": lambda w, time: setattr(w, "work", read_time(time)),
    "seed": lambda w, seed: w.rng.seed(int(seed)),
}
EVENTS = {
    "freeze": lambda w, name, time: w.freeze(name, read_time(time)),
    "freeze_late": lambda w, name, time: setattr(
        w.nodes[name], "pause", read_time(time)
    ),
    "kill": lambda w, name: w.kill(name),
    "boot": lambda w, name: w.nodes[name].boot(),
    "reclaim": reclaim,
    "cut": lambda w, what, time: w.cut(what, read_time(time)),
    "cut_pair": lambda w, name, peer, time: w.cut(
        frozenset([name, peer]), read_time(time)
    ),
    "down": set_fault("down"),
    "slow": set_fault("slow"),
    "delays": set_fault("delays"),
    "drops": set_fault("drops"),
    "loses": set_fault("loses"),
    "send": lambda w, note, name: w.send(note, name),
    "send_altered": lambda w, note, name: w.send(note, name, altered=True),
    "send_old": lambda w, note, name, age: w.send(note, name, age=read_time(age)),
    "publish": lambda w, revision: w.publish(int(revision)),
    "order": lambda w, name, what, engine: w.give_order(name, what, engine),
}


def check_effects(world, note, count):
    """Compare what the service recorded of a note."""
    seen = sum(effect.note == note for effect in world.effects)
    return None if seen == int(count) else f"{note}: {seen}, not {count}"


def check_answers(world, note, *kinds):
    """Compare what the callers of a note were told, in the order they sent it."""
    seen = [call.kind or "nothing" for call in world.calls if call.note == note]
    return None if seen == list(kinds) else f"{note}: {seen}, not {list(kinds)}"


def check_refusal(world, note, limit):
    """The last caller of a note was refused, and within a time."""
    call = [call for call in world.calls if call.note == note][-1]
    if call.told is None:
        return f"{note}: {call.kind}"
    took = call.told_at - call.sent_at
    return None if took <= read_time(limit) else f"{note}: {took * 1000:.0f} ms"


def check_whole(world):
    """Every caller has an answer, and an answer with a body is the service's own."""
    made = {f"{e.note} bound by {e.operation}" for e in world.effects}
    calls = [call for call in world.calls if not call.cut]
    silent = [call.note for call in calls if call.kind is None]
    bodies = [call for call in calls if call.body is not None]
    wrong = [c.note for c in bodies if c.body not in made or c.note not in c.body]
    return f"no answer {silent}, wrong {wrong}" if silent or wrong else None


def check_not_run(world):
    """No request of which a caller was told that it was not run has run."""
    ran = {effect.operation for effect in world.effects}
    told = [call for call in world.calls if call.told == "not_run"]
    lies = [call.note for call in told if call.operation in ran]
    return f"said of {lies}" if lies else None


def check_never_reverts(world):
    """No instance, also after a restart, serves an older revision than before."""
    newest = {}
    for time, name, revision in world.in_force:
        if revision < newest.get(name, 0):
            at = time - EPOCH
            return f"{name} from {newest[name]} to {revision} at {at:.1f}s"
        newest[name] = revision
    return None


def check_everywhere(world, revision, time):
    """All live instances serve the revision at a time."""
    at = EPOCH + read_time(time)
    near = [seen for seen in world.in_force if abs(seen[0] - at) < 0.05]
    seen = {name: found for _, name, found in near}
    live = [node.name for node in world.nodes.values() if node.alive]
    missing = [name for name in live if seen.get(name) != int(revision)]
    return f"not {revision} on {missing}: {seen}" if missing else None


def check_on_one(world, revision, name, time):
    """One instance serves the revision at a time."""
    at = EPOCH + read_time(time)
    near = [s[2] for s in world.in_force if s[1] == name and abs(s[0] - at) < 0.05]
    return None if near and near[-1] == int(revision) else f"{name} serves {near[-1:]}"


def check_not_ready(world, name, time):
    """An instance isn't ready at a time."""
    at = EPOCH + read_time(time)
    near = [s for s in world.in_force if s[1] == name and abs(s[0] - at) < 0.05]
    return f"{name} ready with {near[0][2]}" if near else None


def check_one_holder(world, engine):
    """An engine carries out no order of an old holder after one of a newer."""
    fences = [fence for _, name, _, fence in world.obeyed if name == engine]
    return None if fences == sorted(fences) else f"{engine} obeyed {fences}"


def check_carried_out(world, engine, count):
    """Compare the number of different orders that an engine obeyed."""
    seen = len({order_id for _, name, order_id, _ in world.obeyed if name == engine})
    return None if seen == int(count) else f"{engine}: {seen}, not {count}"


def check_writes(world, limit):
    """Compare the writes that the store counted."""
    seen = world.store.counts.get("Write", 0)
    return None if seen <= int(limit) else f"{seen} > {limit}"


EXPECTS = {
    "effects": check_effects,
    "answers": check_answers,
    "refusal": check_refusal,
    "whole": check_whole,
    "not_run": check_not_run,
    "never_reverts": check_never_reverts,
    "everywhere": check_everywhere,
    "on_one": check_on_one,
    "not_ready": check_not_ready,
    "one_holder": check_one_holder,
    "carried_out": check_carried_out,
    "writes": check_writes,
}
