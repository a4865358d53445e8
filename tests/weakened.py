"""Remove one mechanism from a scratch copy of the core: its scenario must fail.

``python -m tests.weakened`` prints the failures of each scenario without its mechanism.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
CHILD = (
    "import json, pathlib, sys; from tests import explorer, scenarios\n"
    "name = sys.argv[1]\n"
    "path = scenarios.SCENARIOS / f'{name}.scn'\n"
    "found = scenarios.run(path.read_text()) if path.exists()"
    " else explorer.explore(int(name))\n"
    "print(json.dumps(found))"
)


LIVE_WORKERS = 4
LINE = 240


class Edit(NamedTuple):
    """A text replacement in a module of the core."""

    module: str
    old: str
    new: str


class Weakness(NamedTuple):
    """Edits that remove a mechanism; the scenarios, seeds or tests that must fail."""

    name: str
    edits: tuple[Edit, ...]
    scenarios: tuple[str, ...]


START = "return self._start(ask, now + self.cfg.claim_timeout, now)"
FORGIVE = (
    Edit("segments", "if claim is None:", "if claim is None or now > claim.run_until:"),
    Edit("segments", "claims.setdefault(key, claim)", "claims[key] = claim"),
)
HOLDER = "tests.test_orders.TestHolder.test_"
SPREAD = "tests.test_membership.TestSpread.test_"
NO_MORE_TRIES = "FAILED: RetryRule(not_run=False, retryable=False"
LIVE = "tests.test_live.Test"
LEDGER = "tests.test_claims.TestLedger.test_"
EDITS = "tests.test_edits.TestLostAnswers.test_"

WEAKNESSES = (
    Weakness(
        "send before the claim is written",
        (
            Edit(
                "claims",
                START,
                "self._held[operation] = ask\n"
                "        granted = ClaimGranted(operation, key, run_until)\n"
                "        return (granted, *self._start(ask, now + 1, now))",
            ),
        ),
        ("same-moment", "two-writers", "zone-cut-off", "platform-down"),
    ),
    Weakness(
        "no claims at all",
        (
            Edit(
                "claims",
                START,
                "self._held[operation] = ask\n"
                "        return (ClaimGranted(operation, key, run_until),)",
            ),
        ),
        ("retry-elsewhere", "same-moment", "settled-in-outage", "frozen-owner"),
    ),
    Weakness(
        "a rejected write taken as written",
        (
            Edit(
                "claim_writer",
                "Rejected: _update_from_value",
                "Rejected: _update_from_draft",
            ),
        ),
        ("two-writers",),
    ),
    Weakness(
        "silence taken for a yes",
        (
            Edit(
                "claim_writer",
                "            cell.segment = None\n"
                "            cell.uncertain_version = call.expect",
                "            cell.update(cell.draft[0], 0, 0)",
            ),
        ),
        ("dropped-write",),
    ),
    Weakness(
        "silence taken for a no",
        (
            Edit(
                "claim_writer",
                "        self._unanswered += 1\n",
                "        return self._decline_all()\n",
            ),
        ),
        ("lost-answer",),
    ),
    Weakness(
        "release without a write that stops the lost one",
        (Edit("claim_writer", "ask.kind == RELEASE and may_reappear", "False"),),
        ("late-write",),
    ),
    Weakness(
        "a lapsed claim is free again",
        FORGIVE,
        ("runner-killed", "paused-runner", "zone-reclaimed"),
    ),
    Weakness(
        "run unclaimed while the platform is down",
        (
            Edit(
                "claims",
                "        if pending.maybe_written:",
                "        self._unregister(ask)\n"
                "        self._held[ask.operation] = ask\n"
                "        return (ClaimGranted(ask.operation, ask.key, now + 9),)\n"
                "        if pending.maybe_written:",
            ),
        ),
        ("platform-down", "zone-cut-off"),
    ),
    Weakness(
        "outcomes dropped while the platform is down",
        (Edit("claim_writer", "if queued.ask.kind == CLAIM:", "if True:"),),
        ("settled-in-outage",),
    ),
    Weakness(
        "each request finds out by itself that the platform is down",
        (Edit("claim_writer", "        self.down = True\n", "        return ()\n"),),
        ("platform-down", "zone-cut-off"),
    ),
    Weakness(
        "a lost answer to the record write treated as a refusal",
        (Edit("orders", "if self.state != WRITING", "if True"),),
        (HOLDER + "lost_answer_to_the_record_write",),
    ),
    Weakness(
        "no wait for orders of the old holder in transit",
        (Edit("orders", "else (HOLDING,)", "else (SETTLING, HOLDING)"),),
        (HOLDER + "unfenced_engine_gets_no_order_while_old_ones_are_in_transit",),
    ),
    Weakness(
        "an unanswered order reported as not run",
        (Edit("orders", ", outcome=UNKNOWN)", ")"),),
        (HOLDER + "newer_fence_makes_the_holder_step_down",),
    ),
    Weakness(
        "order ids that differ by holder",
        (Edit("orders", "fields = (str(revision),", "fields = (str(id(order)),"),),
        (HOLDER + "two_holders_give_an_order_the_same_id",),
    ),
    Weakness(
        "a silent owner is waited for",
        (Edit("claims", "elif now >= pending.resend_at", "elif False"),),
        ("frozen-owner",),
    ),
    Weakness(
        "keys of any age",
        (Edit("claim_keys", "time < now - cfg.window", "False"),),
        ("old-key",),
    ),
    Weakness(
        "fingerprints not compared",
        (Edit("segments", "claim.fingerprint != ask.fingerprint", "False"),),
        ("retry-elsewhere",),
    ),
    Weakness(
        "any revision adopted",
        (Edit("revisions", "if stamp.revision <= self.stamp.revision", "if False"),),
        ("stale-peer",),
    ),
    Weakness(
        "no reading beside the watches",
        (Edit("revisions", "now >= self._audit_at", "False"),),
        ("revision-spreads",),
    ),
    Weakness(
        "ready at the first peer's value",
        (Edit("revisions", "now >= self._peer_wait_until", "True"),),
        ("restart-in-outage",),
    ),
    Weakness(
        "ready without a configuration",
        (Edit("revisions", "if self.stamp.revision and ", "if "),),
        ("no-configuration",),
    ),
    Weakness(
        "what came into force isn't passed on",
        (
            Edit(
                "follower",
                "            self._publish(action.st",
                "            (action.st",
            ),
        ),
        ("tests.test_live.TestLargeConfiguration.test_scenario",),
    ),
    Weakness(
        "a value that was brought is told anew",
        (Edit("membership", "if self._keep(revision):", "if True:"),),
        (SPREAD + "publishing_a_received_value_starts_no_rumour",),
    ),
    Weakness(
        "engine without fencing",
        (Edit("orders", "order, self.fence, self", "order, 1 << 40, self"),),
        ("paused-holder",),
    ),
    Weakness(
        "no margin on the lease",
        (Edit("orders", "_until - self.cfg.margin", "_until + 30"),),
        ("cut-off-holder",),
    ),
    Weakness(
        "an unreadable segment taken for empty",
        (
            Edit(
                "segments",
                "return Segment(UNREADABLE_SLOT, {})",
                "return EMPTY_SEGMENT",
            ),
        ),
        (LEDGER + "claim_in_an_unreadable_segment_is_refused",),
    ),
    Weakness(
        "a forgotten key granted",
        (Edit("segments", "EXPIRED if ask", "GRANTED if ask"),),
        (LEDGER + "cell_reused_by_a_newer_slot_refuses_older_keys",),
    ),
    Weakness(
        "keys not kept apart by customer",
        (Edit("claim_keys", 'f"{self.customer}/{self.uuid}"', "self.uuid"),),
        (LEDGER + "same_uuid_of_two_customers_is_two_keys",),
    ),
    Weakness(
        "no limit on a segment's size",
        (Edit("claim_writer", "self.cfg.segment_limit - used", "10**9"),),
        (LEDGER + "full_segment_refuses_claims_and_keeps_outcomes",),
    ),
    Weakness(
        "no pace of writes",
        (Edit("claim_writer", "next_write - now > slack + 1e-9", "False"),),
        (LEDGER + "burst_of_claims_stays_within_the_write_rate",),
    ),
    Weakness(
        "first come, first served",
        (Edit("claim_writer", "iter(wanted or free)", "iter(free)"),),
        (LEDGER + "claims_and_outcomes_share_the_writes",),
    ),
    Weakness(
        "claims always first",
        (Edit("claim_writer", "= not cell.has_claims()", "= True"),),
        (LEDGER + "claims_and_outcomes_share_the_writes",),
    ),
    Weakness(
        "an outcome can be released",
        (Edit("segments", "and claim.outcome is None", ""),),
        (LEDGER + "settled_or_expired_claim_is_not_changed",),
    ),
    Weakness(
        "a lapsed claim can be settled and released",
        (Edit("segments", "and now <= claim.run_until", ""),),
        (LEDGER + "settled_or_expired_claim_is_not_changed",),
    ),
    Weakness(
        "a grant is taken however late",
        (
            Edit(
                "claims",
                "verdict.state == GRANTED and now >= pending.give_up_at",
                "False",
            ),
        ),
        (LEDGER + "grant_after_the_claim_timeout_is_released",),
    ),
    Weakness(
        "an owner trusts its copy",
        (Edit("claim_writer", "now - cell.read_at <= self.cfg.max_copy_age", "True"),),
        (LEDGER + "owner_rereads_a_segment_another_writer_may_have_changed",),
    ),
    Weakness(
        "an owner writes asks of any age",
        (Edit("claims", "if self._is_stale(message, now)", "if False"),),
        (LEDGER + "resumed_owner_ignores_an_expired_claim",),
    ),
    Weakness(
        "an edit without an answer called not run",
        (Edit("edits", "self.in_doubt or self.state == WRITING", "False"),),
        (EDITS + "an_unanswered_edit_reports_whether_it_may_be_stored",),
    ),
    Weakness(
        "an edit's own id not looked for in history",
        (Edit("edits", "if is_successful(result) and result", "if False and result"),),
        (EDITS + "every_schedule_of_two_operators_with_one_fault",),
    ),
)

UNCLAIMED = next(one for one in WEAKNESSES if one.name.startswith("run unclaimed"))
NO_CLAIMS = next(one for one in WEAKNESSES if one.name == "no claims at all")
NO_PROBE = (
    Edit(
        "connections",
        "self._probe(state.call, now)",
        'self._fail(state, "Silent.", UpstreamSilent)',
    ),
)
NO_RETRY = (
    Edit("retries", "FAILED: RetryRule(not_run=False, retryable=True", NO_MORE_TRIES),
)

# These run tests/scenarios/live on real processes. They take minutes, so they are not
# part of the test suite.
LIVE_WEAKNESSES = (
    Weakness(
        "a silent path taken for a dead upstream",
        NO_PROBE,
        ("engine-path-silent", "service-path-silent", "engine-paths-silent"),
    ),
    Weakness(
        "a long watch on the notices, and no probe of its path",
        (*NO_PROBE, Edit("notices", "NOTICE_WAIT = 1.0", "NOTICE_WAIT = 10.0")),
        ("cloud-path-silent",),
    ),
    Weakness(
        "no readings beside the watches",
        (Edit("revisions", "if now >= self._audit_at:", "if False:"),),
        ("store-path-silent",),
    ),
    Weakness(
        "events of any attempt taken",
        (
            Edit(
                "answers",
                'if event.get("attempt") != self._attempt:',
                "if False:",
            ),
        ),
        ("crossed-answers", "crossed-everywhere"),
    ),
    UNCLAIMED._replace(scenarios=("centre-cut-off", "store-frozen", "platform-slow")),
    Weakness(
        "notices not passed on",
        (Edit("notices", "self._publish(Notice(UPSTREAM, name, deadline))", "pass"),),
        ("centre-reclaimed",),
    ),
    Weakness(
        "a stop doesn't wait",
        (Edit("drain", "if self._is_empty() or", "if True or"),),
        ("stop-under-load", "replaced-under-load"),
    ),
    NO_CLAIMS._replace(
        scenarios=("entry-killed-in-note", "lost-answers", "owner-frozen")
    ),
    Weakness("no second attempt", NO_RETRY, ("engine-killed-in-outage",)),
    Weakness(
        "work isn't moved and has no second attempt",
        (*NO_RETRY, Edit("sessions", "self.run.move(LEAVING)", "pass")),
        ("engines-reclaimed",),
    ),
)


def weaken(root, edits):
    """Apply a weakness's edits to a copy of the tree."""
    for module, old, new in edits:
        path = root / "src" / "chervilwing" / f"{module}.py"
        text = path.read_text()
        if old not in text:
            raise LookupError(f"{module}: {old}")
        path.write_text(text.replace(old, new))


def play(weakness, live=False):
    """Return the failures of each of a weakness's scenarios, by scenario."""
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        for part in ("src", "tests"):
            shutil.copytree(ROOT / part, root / part)
        weaken(root, weakness.edits)
        return {one: play_one(root, one, live) for one in weakness.scenarios}


def play_one(root, scenario, live=False):
    """Run a scenario on a tree in its own process; return its failures."""
    if live:
        name = "".join(part.title() for part in scenario.split("-"))
        return play_test(root, f"{LIVE}{name}.test_scenario")
    if "." in scenario:
        return play_test(root, scenario)
    env = {**os.environ, "PYTHONPATH": f"{root / 'src'}{os.pathsep}{root}"}
    args = [sys.executable, "-c", CHILD, scenario]
    # A crash of the copy proves nothing: only a failed expectation counts.
    done = subprocess.run(args, cwd=root, env=env, stdout=subprocess.PIPE, check=True)
    return json.loads(done.stdout)


def play_test(root, test):
    """Run a unit test on a tree; return its failed assertions, raise on an error."""
    env = {**os.environ, "PYTHONPATH": f"{root / 'src'}{os.pathsep}{root}"}
    args = [sys.executable, "-m", "unittest", test]
    done = subprocess.run(args, cwd=root, env=env, stderr=subprocess.PIPE, text=True)
    lines = done.stderr.splitlines()
    crashes = [line for line in lines if line.startswith("ERROR:")]
    if crashes:
        raise RuntimeError(crashes[0])
    return [line[:LINE] for line in lines if line.startswith("AssertionError")]


def show(weakness, live):
    """Print the failures of each scenario of a weakness."""
    for scenario, found in play(weakness, live).items():
        print(f"{weakness.name} | {scenario} | {'; '.join(found) or 'GREEN'}")


def main():
    """Print the failures of all weaknesses; with ``live`` only those on processes."""
    if "live" not in sys.argv:
        for weakness in WEAKNESSES:
            show(weakness, live=False)
    with ThreadPoolExecutor(LIVE_WORKERS) as pool:
        for _ in pool.map(lambda one: show(one, live=True), LIVE_WEAKNESSES):
            pass


if __name__ == "__main__":
    main()
