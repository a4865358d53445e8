"""Questions and answers between instances: what the store said, loads, allowances.

The first of a group that is alive leads it: it watches the store and adds up figures.
"""

import time

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .fanout import (
    ALL_WATCH,
    HEED_TIME,
    WATCHERS,
    Fanout,
    arrange,
    find_interval,
    rank,
)
from .items import Item
from .logs import log_event
from .mirrors import News
from .tallies import (
    ADD_EVERY,
    KEPT,
    Counts,
    Placements,
    Tally,
    Told,
    Word,
    add_counts,
    leave_out,
    read_told,
    read_word,
    sum_loads,
)
from .usage import name_process

# Kinds of datagrams.
QUESTION = 1
ANSWER = 2
# Seconds by which each place in a group is more patient to take a vacant duty, and the
# most of it: a claim is known to the others after two questions.
PATIENCE_STEP = 0.15
LONGEST_PATIENCE = 1.5
# Seconds for which an instance that asked this one may be asked in turn: it stops when
# the lease of one that is cut off lapses, and knows the store's news all the same.
ASKER_KEPT = 60.0
# Stands in a question for the group, where another one than its leader is asked.
HELPER = ""


def read_news(age, regained, revision, items, more, keys):
    """Return the News that came in a datagram."""
    if items is not None:
        items = tuple(Item(*item) for item in items)
    return News(age, regained, revision, items, more, keys)


class Neighbours(BaseComponent):
    """Ask the instance that watches the store, and answer those that ask this one."""

    channel = "neighbours"

    def __init__(self, cfg, datagrams, coordinator, gateway, parts, agreed):
        super().__init__()
        self._cfg = cfg
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._gateway = gateway
        self._parts = parts
        self._agreed = agreed
        self._groups = {}
        # Whether others may be told what the store said. Guard: one that lost the store
        # has it from those that ask it; told back how fresh it is, they would rest, and
        # all grow old on each other's word.
        self._vouches = True
        # Mbit/s of all instances' links, by name.
        self._links = {}
        self._group = ""
        self._arranged = None
        self._oldest = min(cfg.apply_bound, cfg.leave_bound) - HEED_TIME
        # The instance that leads this one's group.
        self._leader = Fanout(self._oldest)
        # Another one that may know what the store said, where the leader doesn't.
        self._helper = Fanout(self._oldest)
        # Who asked this one, or helped it, and from where and when; see _list_helpers.
        self._askers = {}
        # One for each other group, asked by those who lead.
        self._others = {}
        self._near, self._far = Tally(), Tally()
        self._near_placed, self._far_placed = Placements(), Placements()
        self._used_at = float("-inf")
        # The word of the last question to each group.
        self._words = {}
        datagrams.subscribe(QUESTION, self._answer)
        datagrams.subscribe(ANSWER, self._hear)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._arrange()
        self._choose(now)
        if not self.leads:
            self._ask(self._group, self._leader, now)
            return
        self._ask_others(now)
        self._hear_own(now)

    @property
    def leads(self):
        """Tell whether this instance leads its group."""
        return self._leader.target is None

    def list_group(self):
        """Return the names of this instance's group, in rank."""
        self._arrange()
        return self._groups[self._group]

    def _arrange(self):
        """Form the groups anew when instances have come or gone."""
        peers = self._coordinator.peers
        if self._arranged == self._coordinator.peers_version:
            return
        self._arranged = self._coordinator.peers_version
        centres = {self._cfg.data_centre: [self._cfg.name]}
        for name, peer in peers.items():
            centres.setdefault(peer.data_centre, []).append(name)
        self._links = self._coordinator.list_links()
        self._groups = arrange(centres, self._links)
        self._group = next(
            group for group, names in self._groups.items() if self._cfg.name in names
        )

    def _choose(self, now):
        """Find whom to ask, and whether own calls on the store may rest meanwhile.

        Whom the leader can't tell anything new, since it is cut off from the store,
        asks those before it in rank; the first of these calls the store itself. Who
        can't reach the store either asks whoever is in its group.
        """
        names = self._groups[self._group]
        place = names.index(self._cfg.name)
        patience = min(LONGEST_PATIENCE, place * PATIENCE_STEP)
        self._coordinator.tenure.patience = patience
        before = self._leader.target
        leader = self._leader.choose(names[:place], now)
        if leader != before:
            log_event("leader followed", leader=leader or "", was=before or "")
        if leader is None:
            told = any(self._others[group].fresh for group in self._list_watched())
        else:
            told = self._leader.fresh
        away = self._coordinator.unreachable
        helped = not told and self._ask_helper(names, place, leader, now)
        self._coordinator.resting = told or (helped and not away)
        self._vouches = told or not away

    def _ask_helper(self, names, place, leader, now):
        """Ask for the store's news and tell whether they come.

        Load: the store turns a leader away and serves its followers. Harm: all two
        dozen of them would watch for themselves, 150 calls a second.
        """
        if self._coordinator.unreachable:
            able = self._list_helpers(names, leader, now)
        else:
            able = [name for name in names[:place] if leader and name != leader]
        if self._helper.choose(able, now) is None:
            return False
        self._ask(HELPER, self._helper, now)
        return self._helper.fresh

    def _list_helpers(self, names, leader, now):
        """Return who may know the store's news: the group, and whoever asks this one.

        Guard: a leader that is cut off before it hears of those that started after it
        knows nobody to ask. It would honour a key that was taken away until it refuses
        everybody, beside a whole group that knows better and asks it all the while.
        """
        askers = [n for n, (_, at) in self._askers.items() if now - at <= ASKER_KEPT]
        able = dict.fromkeys([*names, *askers])
        return [name for name in able if name not in (leader, self._cfg.name)]

    def _find_address(self, name):
        peer = self._coordinator.peers.get(name)
        return peer.address if peer else self._askers[name][0]

    def _list_watched(self):
        """Return the groups whose leaders tell this one, a leader, the store's news."""
        if self._oldest <= ALL_WATCH:
            return []
        asked = {g: self._others[g] for g in self._groups if g in self._others}
        targets = {item.target: group for group, item in asked.items() if item.target}
        first = rank([self._cfg.name, *targets], self._links)[:WATCHERS]
        return [] if self._cfg.name in first else [targets[name] for name in first]

    def _ask_others(self, now):
        for group in self._groups.keys() - {self._group}:
            fanout = self._others.setdefault(group, Fanout(self._oldest))
            if fanout.choose(self._groups[group], now) is not None:
                self._ask(group, fanout, now)

    def _ask(self, group, fanout, now):
        count = len(self._groups[self._group])
        if fanout is not self._leader:
            # Each of the other leaders asks back.
            count = 2 * len(self._groups)
        interval = find_interval(count)
        number = fanout.next_question(now, interval)
        if number is None:
            return
        word = self._words[group] = self._describe()
        wanted = group in (self._group, HELPER, *self._list_watched())
        revisions = self._coordinator.list_revisions() if wanted else None
        address = self._find_address(fanout.target)
        self._datagrams.send(QUESTION, (number, group, revisions, word), address)

    def _describe(self):
        """Return this instance's Word."""
        pools = self._gateway.pools
        in_flight = {}
        for pool in pools.values():
            for name, station in pool.stations.items():
                for placer, load in station.ledger.sum_by_placer().items():
                    in_flight.setdefault(placer, {})[name] = load
        work = {name: pool.work for name, pool in pools.items() if pool.work}
        answers = dict(self._gateway.rollouts.answers)
        counts = Counts(1, in_flight, work, answers)
        return Word(
            self._cfg.name,
            self._cfg.incarnation,
            self._group,
            time.time(),
            counts,
            self._parts.list_open(),
            self._list_placed(),
            self._gateway.crashes.list_told(read_boottime()),
        )

    def _list_placed(self):
        """Return where this instance has sent long prompts of late."""
        now = read_boottime()
        pools = self._gateway.pools.values()
        return [item for pool in pools for item in pool.caches.list_recent(now)]

    def _answer(self, address, number, group, revisions, word):
        """Answer a question, and take the word that came with it."""
        now = read_boottime()
        word = read_word(*word)
        near = word.group == self._group
        if near:
            self._askers[word.name] = (address, now)
        self._agreed.hear(word.name, word.time_of_day, now)
        self._parts.hear(word, near)
        self._hear_crashes(word.crashes, now, near)
        if near:
            self._near.hear(word.name, word.incarnation, word.counts, now)
            self._near_placed.hear(word.placements, now)
        news = sums = None
        if revisions is not None and self._vouches:
            news = self._coordinator.tell(revisions, now)
        if self.leads:
            sums = self._add_up(now) if near else self._near.measure(now)
        at = self._parts.read_time()
        stored = self._parts.list_stored(word)
        placed = self._near_placed.list(now)
        if near:
            placed += self._far_placed.list(now)
        crashes = self._gateway.crashes.list_told(now)
        told = Told(
            self._cfg.name,
            self._cfg.incarnation,
            at,
            sums,
            stored,
            placed,
            crashes,
        )
        fields = (number, group, self._leader.target or "", news, told)
        self._datagrams.send(ANSWER, fields, address)

    def _add_up(self, now):
        """Return the figures of all instances."""
        return add_counts(self._near.measure(now), self._far.measure(now))

    def _hear(self, address, number, group, leader, news, told):
        """Take an answer."""
        now = read_boottime()
        fanout = self._find_fanout(group)
        if fanout is None:
            return
        news = [None if item is None else read_news(*item) for item in news or ()]
        age = self._coordinator.find_age(news) if news else float("inf")
        more = any(item is not None and item.more for item in news)
        asked = fanout.receive(number, age, more, now)
        if asked is None:
            return
        if news:
            self._coordinator.learn(news, asked.at, now)
        told = read_told(*told)
        word = self._words[group]
        self._learn_placed(told.placements)
        self._hear_crashes(told.crashes, now)
        self._parts.note_stored(word, told.stored)
        if fanout is self._helper:
            self._askers[asked.name] = (address, now)
            if not fanout.fresh or not self._is_of_use(news):
                fanout.pass_over(now)
        elif told.sums is None:
            fanout.prefer(leader, now)
        elif fanout is self._leader:
            self._agreed.adopt(told.time_of_day, now)
            others = leave_out(told.sums, word.counts)
            self._use((told.name, told.incarnation), others, now)
        else:
            self._agreed.hear(told.name, told.time_of_day, now)
            self._far_placed.hear(told.placements, now)
            self._far.hear((group, told.name), told.incarnation, told.sums, now)

    def _is_of_use(self, news):
        """Tell whether a helper's news say all that this instance can't ask itself."""
        listed = all(item is None or item.items is not None for item in news)
        return listed or not self._coordinator.unreachable

    def _hear_crashes(self, crashes, now, near=False):
        for news in crashes:
            self._gateway.crashes.hear(news, now, near)

    def _learn_placed(self, placements):
        for pool in self._gateway.pools.values():
            pool.learn(placements)

    def _find_fanout(self, group):
        if group == HELPER:
            return self._helper
        return self._leader if group == self._group else self._others.get(group)

    def _hear_own(self, now):
        """Take the figures of all instances as they were told to this one."""
        if now - self._used_at < ADD_EVERY:
            return
        self._used_at = now
        word = self._describe()
        self._near_placed.hear(word.placements, now)
        self._learn_placed(self._near_placed.list(now))
        self._parts.hear(word, near=True)
        self._near.hear(word.name, word.incarnation, word.counts, now)
        source = (self._cfg.name, self._cfg.incarnation)
        self._use(source, leave_out(self._add_up(now), word.counts), now)

    def _use(self, source, others, now):
        """Let decisions count with what the others have in flight."""
        until = now + KEPT
        loads = sum_loads(others.in_flight.values())
        placed_here = name_process(self._cfg.name, self._cfg.incarnation)
        unplaced = sum_loads(
            loads for placer, loads in others.in_flight.items() if placer != placed_here
        )
        self._gateway.rollouts.hear(source, others.answers)
        for name, pool in self._gateway.pools.items():
            pool.peers_work = {source: (source[1], others.work.get(name, 0.0))}
            pool.hear(loads, until, unplaced)
