"""An instance's choice of the parent from which it claims credit.

Instances of a group claim from the first of the group, and the first ones of the groups
from the first of all. Each instance chooses its parent by itself, from the answers that
it gets. If two instances disagree for a moment, less credit passes between them; there
is no other effect.
"""

# Seconds between two claims to a parent that hasn't answered the last one, and seconds
# of silence after which another parent is chosen. If the first of all instances is lost
# while customers use half of their limits, an instance that waits for it has only its
# own accrual.
CLAIM_RETRY_INTERVAL = 0.1
PARENT_TIMEOUT = 0.35
# Seconds after its answer to a probe for which an instance counts as alive, and seconds
# between two probes of one instance.
PROBE_ANSWER_LIFETIME = 1.5
PROBE_INTERVAL = 1.0
# Probes that an instance without a parent sends at a time, longest unprobed instances
# first. If a third of two hundred instances is cut off, probing them one after the
# other would take too long.
MAX_PROBES = 4
# Seconds between two probes of an instance that has a parent: a better one that was
# lost need not be found soon, and hundreds of instances would all probe it meanwhile.
PROBE_INTERVAL_WITH_PARENT = 0.2


class ParentChoice:
    """State of one instance's choice; times are seconds on one clock."""

    def __init__(self):
        self.parent = None
        self._answered = {}
        self._probed = {}
        self._probed_at = float("-inf")
        # When the parent was sent the first claim that it hasn't answered, or None.
        self._unanswered_since = None

    def choose(self, group_candidates, all_candidates, now):
        """Return the first instance that answers, or None where none does.

        ``all_candidates`` are the instances that rank before this one, in rank order;
        ``group_candidates`` are those of its group, which are preferred.
        """
        if (
            self._unanswered_since is not None
            and now - self._unanswered_since > PARENT_TIMEOUT
        ):
            self._answered.pop(self.parent, None)
            self._probed[self.parent] = now
        alive = {name for name in self._answered if self._is_alive(name, now)}
        found = next(
            (name for name in (*group_candidates, *all_candidates) if name in alive),
            None,
        )
        if found != self.parent:
            self.parent, self._unanswered_since = found, None
        return found

    def list_probes(self, group_candidates, all_candidates, now):
        """Return the names of instances to probe, which would be better parents."""
        names = list(dict.fromkeys((*group_candidates, *all_candidates)))
        limit = MAX_PROBES
        if self.parent in names:
            names = names[: names.index(self.parent)]
            limit = 1 if now - self._probed_at >= PROBE_INTERVAL_WITH_PARENT else 0
        since = {name: self._probed.get(name, float("-inf")) for name in names}
        due = [name for name in names if now - since[name] >= PROBE_INTERVAL]
        chosen = sorted(due, key=since.get)[:limit]
        if chosen:
            self._probed_at = now
            self._probed.update((name, now) for name in chosen)
        return chosen

    def record_claim(self, now):
        """Record that a claim is sent to the parent."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_answer(self, name, now):
        """Record that an instance answered a claim or a probe."""
        self._answered[name] = now
        if name == self.parent:
            self._unanswered_since = None

    @property
    def awaits_answer(self):
        """Return whether a claim to the parent has not been answered yet."""
        return self._unanswered_since is not None

    def _is_alive(self, name, now):
        return (
            name == self.parent or now - self._answered[name] <= PROBE_ANSWER_LIFETIME
        )
