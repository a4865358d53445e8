"""Queries and replies between instances: the store's contents, loads, usage.

The first living instance of a group leads it: it watches the store and adds up the
reports.
"""

import time

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .instance_reports import (
    REPORT_TIMEOUT,
    SUM_INTERVAL,
    CachedPrompts,
    Counts,
    InstanceReport,
    ReportReply,
    ReportSums,
    add_counts,
    read_reply,
    read_report,
    subtract_counts,
    sum_loads,
)
from .leader_queries import (
    ALL_LEADERS_WATCH_AGE,
    LIST_DELAY,
    MAX_WATCHERS,
    REACTION_TIME,
    LeaderQueries,
    compute_query_interval,
    form_groups,
    rank_leaders,
)
from .logs import log_event
from .mirrors import News
from .store_calls import Item
from .usage import name_process

# Kinds of datagrams.
QUERY = 1
REPLY = 2
# An instance delays its claim of the vacant duties by this many seconds for each
# instance that ranks before it in its group, up to the maximum: the other instances
# learn of a claim after two queries.
CLAIM_DELAY_STEP = 0.15
MAX_CLAIM_DELAY = 1.5
# Seconds for which an instance that queried this one may be queried in turn. The lease
# of an instance that is cut off lapses and it leaves the peers, but it may still know
# the state of the store.
QUERIER_LIFETIME = 60.0
# Replaces the group's name in a query to a fallback, an instance other than the leader.
FALLBACK = ""


def read_news(age, seconds_since_regained, revision, items, more, keys):
    """Return the News decoded from a datagram."""
    if items is not None:
        items = tuple(Item(*item) for item in items)
    return News(age, seconds_since_regained, revision, items, more, keys)


class ReportExchange(BaseComponent):
    """Query the instance that watches the store, and answer queries of others."""

    channel = "report-exchange"

    def __init__(self, cfg, datagrams, coordinator, gateway, parts, agreed_time):
        super().__init__()
        self._cfg = cfg
        self._datagrams = datagrams
        self._coordinator = coordinator
        self._gateway = gateway
        self._parts = parts
        self._agreed_time = agreed_time
        self._groups = {}
        # Whether replies may contain the state of the store. An instance that lost the
        # store gets it from its queriers. If it returned that state to them as fresh,
        # they would stop watching, and all would rely on each other's ageing knowledge.
        self._shares_store_state = True
        # Mbit/s of all instances' links, by name.
        self._links = {}
        self._group = ""
        self._peers_version = None
        self._max_age = min(cfg.apply_bound, cfg.leave_bound) - REACTION_TIME
        # Queries to the instance that leads this one's group.
        self._leader = LeaderQueries(self._max_age)
        # Queries to a fallback that may know the state of the store where the leader
        # doesn't.
        self._fallback = LeaderQueries(self._max_age)
        # Address and time of the last query from, or fallback reply by, each instance.
        self._queriers = {}
        # Queries to the leaders of the other groups, by group; used while this instance
        # leads.
        self._queries_by_group = {}
        self._group_sums, self._other_sums = ReportSums(), ReportSums()
        self._group_cached_prompts, self._other_cached_prompts = (
            CachedPrompts(),
            CachedPrompts(),
        )
        self._applied_at = float("-inf")
        # The report sent with the last query to each group.
        self._sent_reports = {}
        datagrams.subscribe(QUERY, self._receive_query)
        datagrams.subscribe(REPLY, self._receive_reply)

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        self._form_groups()
        self._choose_targets(now)
        if not self.is_leader:
            self._query(self._group, self._leader, now)
            return
        self._query_others(now)
        self._apply_own_report(now)

    @property
    def is_leader(self):
        """Return whether this instance leads its group."""
        return self._leader.target is None

    def list_group(self):
        """Return the names of this instance's group in rank order."""
        self._form_groups()
        return self._groups[self._group]

    def _form_groups(self):
        """Form the groups again after instances have joined or left."""
        peers = self._coordinator.peers
        if self._peers_version == self._coordinator.peers_version:
            return
        self._peers_version = self._coordinator.peers_version
        centres = {self._cfg.data_centre: [self._cfg.name]}
        for name, peer in peers.items():
            centres.setdefault(peer.data_centre, []).append(name)
        self._links = self._coordinator.list_links()
        self._groups = form_groups(centres, self._links)
        self._group = next(
            group for group, names in self._groups.items() if self._cfg.name in names
        )

    def _choose_targets(self, now):
        """Choose whom to query, and whether this instance's own store calls may pause.

        If the leader is cut off from the store, an instance also queries another one
        that ranks before it. The second in rank has none to query, so it calls the
        store itself. An instance that can't reach the store queries any instance of its
        group.
        """
        names = self._groups[self._group]
        rank_in_group = names.index(self._cfg.name)
        claim_delay = min(MAX_CLAIM_DELAY, rank_in_group * CLAIM_DELAY_STEP)
        self._coordinator.duty_lease.claim_delay = claim_delay
        before = self._leader.target
        leader = self._leader.choose(names[:rank_in_group], now)
        if leader != before:
            log_event("leader followed", leader=leader or "", was=before or "")
        self._coordinator.set_list_delay(0.0 if leader is None else LIST_DELAY)
        if leader is None:
            informed = any(
                self._queries_by_group[group].fresh
                for group in self._list_watching_groups()
            )
        else:
            informed = self._leader.fresh
        unreachable = self._coordinator.unreachable
        fallback_informed = not informed and self._query_fallback(
            names, rank_in_group, leader, now
        )
        self._coordinator.passive = informed or (fallback_informed and not unreachable)
        self._shares_store_state = informed or not unreachable

    def _query_fallback(self, names, rank_in_group, leader, now):
        """Query a fallback for the state of the store; return whether it is fresh.

        If the store refuses a leader's calls but serves its followers, all two dozen of
        them would otherwise watch the store themselves, with 150 calls a second.
        """
        if self._coordinator.unreachable:
            candidates = self._list_fallbacks(names, leader, now)
        else:
            candidates = [
                name for name in names[:rank_in_group] if leader and name != leader
            ]
        if self._fallback.choose(candidates, now) is None:
            return False
        self._query(FALLBACK, self._fallback, now)
        return self._fallback.fresh and self._fallback.behind_since is None

    def _list_fallbacks(self, names, leader, now):
        """Return the names that may know the store's state: the group and the queriers.

        A leader that is cut off before it learns of instances that started after it
        knows no peer to query. It would accept a revoked key, and later refuse all
        callers, although a whole group with fresh knowledge keeps querying it.
        """
        queriers = [
            n for n, (_, at) in self._queriers.items() if now - at <= QUERIER_LIFETIME
        ]
        candidates = dict.fromkeys([*names, *queriers])
        return [name for name in candidates if name not in (leader, self._cfg.name)]

    def _find_address(self, name):
        peer = self._coordinator.peers.get(name)
        return peer.address if peer else self._queriers[name][0]

    def _list_watching_groups(self):
        """Return the groups whose leaders watch the store for this one, if any."""
        if self._max_age <= ALL_LEADERS_WATCH_AGE:
            return []
        queried = {
            g: self._queries_by_group[g]
            for g in self._groups
            if g in self._queries_by_group
        }
        targets = {item.target: group for group, item in queried.items() if item.target}
        first = rank_leaders([self._cfg.name, *targets], self._links)[:MAX_WATCHERS]
        return [] if self._cfg.name in first else [targets[name] for name in first]

    def _query_others(self, now):
        for group in self._groups.keys() - {self._group}:
            queries = self._queries_by_group.setdefault(
                group, LeaderQueries(self._max_age)
            )
            if queries.choose(self._groups[group], now) is not None:
                self._query(group, queries, now)

    def _query(self, group, queries, now):
        count = len(self._groups[self._group])
        if queries is not self._leader:
            # Each of the other leaders queries this one too.
            count = 2 * len(self._groups)
        interval = compute_query_interval(count)
        number = queries.next_query(now, interval)
        if number is None:
            return
        report = self._sent_reports[group] = self._make_report()
        wants_news = group in (self._group, FALLBACK, *self._list_watching_groups())
        revisions = self._coordinator.list_revisions() if wants_news else None
        address = self._find_address(queries.target)
        self._datagrams.send(QUERY, (number, group, revisions, report), address)

    def _make_report(self):
        """Return this instance's InstanceReport."""
        pools = self._gateway.pools
        in_flight = {}
        for pool in pools.values():
            for name, upstream_state in pool.upstream_states.items():
                for placer, load in upstream_state.own_requests.sum_by_placer().items():
                    in_flight.setdefault(placer, {})[name] = load
        work = {name: pool.work for name, pool in pools.items() if pool.work}
        answers = dict(self._gateway.rollouts.answers)
        counts = Counts(1, in_flight, work, answers)
        return InstanceReport(
            self._cfg.name,
            self._cfg.incarnation,
            self._group,
            time.time(),
            counts,
            self._parts.list_unstored(),
            self._list_cached_prompts(),
            self._gateway.crashes.list_reports(read_boottime()),
        )

    def _list_cached_prompts(self):
        """Return the upstreams to which this instance recently sent long prompts."""
        now = read_boottime()
        pools = self._gateway.pools.values()
        return [item for pool in pools for item in pool.caches.list_recent(now)]

    def _receive_query(self, address, number, group, revisions, report):
        """Apply the report of a query and send a reply."""
        now = read_boottime()
        report = read_report(*report)
        same_group = report.group == self._group
        if same_group:
            self._queriers[report.name] = (address, now)
        self._agreed_time.add_sample(report.name, report.time_of_day, now)
        self._parts.add_report(report, same_group)
        self._apply_crashes(report.crashes, now, same_group)
        if same_group:
            self._group_sums.add_report(
                report.name, report.incarnation, report.counts, now
            )
            self._group_cached_prompts.record(report.cached_prompts, now)
        news = sums = None
        if revisions is not None and self._shares_store_state:
            news = self._coordinator.list_news(revisions, now)
        if self.is_leader:
            sums = (
                self._sum_all(now) if same_group else self._group_sums.compute_sums(now)
            )
        at = self._parts.read_time()
        stored = self._parts.list_stored(report)
        cached_prompts = self._group_cached_prompts.list_recent(now)
        if same_group:
            cached_prompts += self._other_cached_prompts.list_recent(now)
        crashes = self._gateway.crashes.list_reports(now)
        reply = ReportReply(
            self._cfg.name,
            self._cfg.incarnation,
            at,
            sums,
            stored,
            cached_prompts,
            crashes,
        )
        fields = (number, group, self._leader.target or "", news, reply)
        self._datagrams.send(REPLY, fields, address)

    def _sum_all(self, now):
        """Return the summed Counts of all instances."""
        return add_counts(
            self._group_sums.compute_sums(now), self._other_sums.compute_sums(now)
        )

    def _receive_reply(self, address, number, group, leader, news, reply):
        """Apply a reply."""
        now = read_boottime()
        queries = self._find_queries(group)
        if queries is None:
            return
        news = [None if item is None else read_news(*item) for item in news or ()]
        age = self._coordinator.compute_age(news) if news else float("inf")
        more = any(item is not None and item.more for item in news)
        query = queries.receive(number, age, more, now)
        if query is None:
            return
        if news:
            self._coordinator.apply_news(news, query.at, now)
        reply = read_reply(*reply)
        report = self._sent_reports[group]
        self._apply_cached_prompts(reply.cached_prompts)
        self._apply_crashes(reply.crashes, now)
        self._parts.mark_stored(report, reply.stored)
        if queries is self._fallback:
            self._queriers[query.name] = (address, now)
            if not queries.fresh or not self._is_sufficient(news):
                queries.avoid_target(now)
        elif reply.sums is None:
            queries.prefer(leader, now)
        elif queries is self._leader:
            self._agreed_time.adopt(reply.time_of_day, now)
            others = subtract_counts(reply.sums, report.counts)
            self._apply_sums((reply.name, reply.incarnation), others, now)
        else:
            self._agreed_time.add_sample(reply.name, reply.time_of_day, now)
            self._other_cached_prompts.record(reply.cached_prompts, now)
            self._other_sums.add_report(
                (group, reply.name), reply.incarnation, reply.sums, now
            )

    def _is_sufficient(self, news):
        """Return whether a fallback's news suffices where the store is unreachable."""
        listed = all(item is None or item.items is not None for item in news)
        return listed or not self._coordinator.unreachable

    def _apply_crashes(self, crashes, now, same_group=False):
        for report in crashes:
            self._gateway.crashes.apply_reports(report, now, same_group)

    def _apply_cached_prompts(self, cached_prompts):
        for pool in self._gateway.pools.values():
            pool.add_reported_prompts(cached_prompts)

    def _find_queries(self, group):
        if group == FALLBACK:
            return self._fallback
        return (
            self._leader if group == self._group else self._queries_by_group.get(group)
        )

    def _apply_own_report(self, now):
        """Apply the sums of all other instances' reports at this leader."""
        if now - self._applied_at < SUM_INTERVAL:
            return
        self._applied_at = now
        report = self._make_report()
        self._group_cached_prompts.record(report.cached_prompts, now)
        self._apply_cached_prompts(self._group_cached_prompts.list_recent(now))
        self._parts.add_report(report, same_group=True)
        self._group_sums.add_report(report.name, report.incarnation, report.counts, now)
        source = (self._cfg.name, self._cfg.incarnation)
        self._apply_sums(
            source, subtract_counts(self._sum_all(now), report.counts), now
        )

    def _apply_sums(self, source, others, now):
        """Pass the other instances' loads and work on to the pools."""
        until = now + REPORT_TIMEOUT
        loads = sum_loads(others.in_flight.values())
        placed_here = name_process(self._cfg.name, self._cfg.incarnation)
        placed_elsewhere = sum_loads(
            loads for placer, loads in others.in_flight.items() if placer != placed_here
        )
        self._gateway.rollouts.add_peer_answers(source, others.answers)
        for name, pool in self._gateway.pools.items():
            pool.peer_work = {source: (source[1], others.work.get(name, 0.0))}
            pool.set_peer_loads(loads, until, placed_elsewhere)
