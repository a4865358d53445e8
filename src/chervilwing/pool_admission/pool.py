"""Admission decisions for one pool."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from ..costs import update_average
from ..queues import BANDS, GUARANTEED_SHARE, SHORT, FairQueue, QueuedWork
from ..work import Work
from .decisions import (
    ADMIT,
    DEADLINE,
    DISPLACED,
    EARLY,
    LATE,
    WAIT,
    AdmissionRequest,
    Refuse,
)
from .overload import OverloadState
from .reservations import EARLY_TOLERANCE, EXPIRES_AFTER, Reservations

# Decay time in seconds of the measured service rates: within the shortest latency
# targets, a change of the load must show.
SERVED_DECAY = 1.0
# Seconds of uninterrupted waiting after which the measured service rate corrects the
# engines' estimated one; reports of a few prompts more or less don't matter then.
MEASURED_AFTER = 0.5
# Bounds of the measured service rate, as fractions of the estimated one. A lower bound
# would send engines too little in advance, which lowers the measured rate further.
MIN_MEASURED, MAX_MEASURED = 0.4, 1.5
# A request is refused if it needs more than this part of the time until its latency
# target or its deadline. Estimates err by about a quarter, and the order of the queue
# changes while it waits.
MAX_TARGET_PART = 0.9
MAX_DEADLINE_PART = 0.9
# A waiting request is displaced if it needs more than this part: refusing it later,
# once its target is lost, is worse for its caller.
MAX_WAITING_PART = 0.8
# Parts of the latency target after which a waiting request is reviewed. A refusal must
# be known within a quarter; later, a request is refused only once its target is lost.
REVIEWS = (0.125, 0.2)
# Fewest prompt tokens that a request counts for: an engine step takes its time also if
# the whole prompt is cached.
MIN_COST = 50.0
# Seconds of the pool's capacity that a band is owed of its guaranteed share before more
# urgent ones wait for it. Less would cost them time at each request, more would delay
# the band by a large part of its latency target.
OWED_SECONDS = 0.03
# All organisations have the same share of a band.
WEIGHT = 1.0


class WaitingRequest(NamedTuple):
    """A queued request.

    ``ahead`` is the cost of its flow when it was queued, and ``removed`` the cost that
    had left the flow until then. ``promised`` is set if its
    caller returned by reservation.
    """

    request: AdmissionRequest
    ahead: float
    removed: float
    promised: bool
    sequence: int


class PoolAdmission:
    """Decide which requests to one pool proceed, wait or are refused.

    Times are seconds on one clock. ``counts`` are totals by name and band. ``scale`` is
    the measured service rate as a fraction of the estimated one.
    """

    def __init__(self):
        self.overload = OverloadState()
        self.reservations = Reservations()
        self.counts = Counter()
        self.scale = 1.0
        # Average cost of a request by band.
        self._typical_costs = [MIN_COST] * len(BANDS)
        self._counted = {}
        self._queue = FairQueue(SERVED_DECAY)
        self._waiting = {}
        # Since when requests have always waited, and the cost served since.
        self._waiting_since = None
        self._served_cost = 0.0
        self._reviews = []
        self._sequence = count()

    def __len__(self):
        return len(self._waiting)

    def count_waiting(self, band):
        """Return how many requests of a band wait."""
        return self._queue.count_band(band)

    def decide(self, request, room, now):
        """Return Admit, Wait or Refuse for a request; Wait if it waits already."""
        if request.key in self._waiting:
            return WAIT
        request = request._replace(cost=max(MIN_COST, request.cost))
        typical = self._typical_costs[request.band]
        self._typical_costs[request.band] = update_average(typical, request.cost)
        told = self.reservations.find(request.fingerprint)
        if told is None:
            return self._decide_new(request, room, now)
        request = request._replace(target_at=min(request.target_at, told.target_at))
        if now < told.at - EARLY_TOLERANCE and self.overload.active:
            self.counts["refused_" + EARLY, request.band] += 1
            self.overload.record(now)
            return Refuse(told.at - now, EARLY)
        self.reservations.take(request.fingerprint)
        if told.reserved and now < told.at + EXPIRES_AFTER:
            return self._admit_promised(request, room, now)
        return self._decide_new(request, room, now)

    def list_admitted(self, room, now):
        """Return the decisions on waiting requests as pairs of key and decision.

        They are Admit for those that may proceed now, and Refuse for those that are
        refused now; both are removed from the queue.
        """
        self._measure_scale(room, now)
        decisions = self._review(room, now)
        free = list(room.free)
        while (item := self._peek(free, room.rate)) is not None:
            waiting = self._waiting[item.work.request_id]
            if self._is_lost(waiting, room, now):
                decisions.append(self._displace(waiting, room, now))
                continue
            self._queue.dequeue(item, now)
            del self._waiting[item.work.request_id]
            self._count_admitted(waiting.request, waiting.promised)
            decisions.append((item.work.request_id, ADMIT))
            for band in BANDS[item.band :]:
                free[band] -= item.cost
        if not self._waiting:
            self._waiting_since = None
        return decisions

    def expire(self, now):
        """Remove reservations that weren't used."""
        for band in self.reservations.expire(now):
            self.counts["reservations_expired", band] += 1

    def remove(self, key):
        """Remove a waiting request whose caller has gone; return whether it waited."""
        if self._waiting.pop(key, None) is None:
            return False
        self._queue.remove(key)
        return True

    def update_overload(self, now):
        """Update the overload state; return whether it changed."""
        if self._waiting:
            self.overload.record(now)
        return self.overload.update(now)

    def count_recent(self):
        """Return the totals since the last call, and how many requests wait."""
        names = {name for name, _ in self.counts}
        totals = {n: sum(self.counts[n, band] for band in BANDS) for n in names}
        recent = {n: total - self._counted.get(n, 0) for n, total in totals.items()}
        self._counted = totals
        return recent | {"waiting": len(self._waiting)}

    def _decide_new(self, request, room, now):
        wait = self._estimate_wait(request, room, now)
        if self._is_free(request.band, room):
            seconds = room.queued[request.band] / max(1.0, room.rate)
            seconds += request.prefill_seconds
            in_time = self._meets_target(request, seconds, now)
            # A request that is late yields to those that can still be in time.
            if self._meets_deadline(request, seconds, now) and (
                in_time or not self._waiting
            ):
                return self._admit(request, now)
        seconds = wait + request.prefill_seconds
        if not self._meets_deadline(request, seconds, now):
            return self._refuse(request, wait, room, DEADLINE, now)
        if not self._meets_target(request, seconds, now):
            return self._refuse(request, wait, room, LATE, now)
        return self._enqueue(request, now)

    def _admit_promised(self, request, room, now):
        if self._is_free(request.band, room):
            return self._admit(request, now, promised=True)
        return self._enqueue(request, now, promised=True)

    def _is_free(self, band, room):
        """Return whether there is room and nothing as urgent or more urgent waits."""
        return room.free[band] > 0 and not self._queue.count_before(band)

    def _meets_target(self, request, seconds, now):
        return seconds <= (request.target_at - now) * MAX_TARGET_PART

    def _meets_deadline(self, request, seconds, now):
        return seconds <= (request.deadline - now) * MAX_DEADLINE_PART

    def _admit(self, request, now, promised=False):
        self._queue.serve_directly(make_item(request), WEIGHT, now)
        self._count_admitted(request, promised)
        return ADMIT

    def _count_admitted(self, request, promised):
        self._served_cost += request.cost
        self.counts["admitted", request.band] += 1
        if promised:
            self.counts["reservations_kept", request.band] += 1

    def _refuse(self, request, wait, room, cause, now):
        self.counts[
            cause if cause == DISPLACED else "refused_" + cause, request.band
        ] += 1
        self.overload.record(now)
        item = self.reservations.add(request, wait, room.rate, now)
        return Refuse(item.at - now, cause)

    def _enqueue(self, request, now, promised=False):
        ahead, removed = self._queue.get_flow_costs(request.organisation, request.band)
        waiting = WaitingRequest(
            request, ahead, removed, promised, next(self._sequence)
        )
        self._queue.push(make_item(request), WEIGHT, front=promised)
        self._waiting[request.key] = waiting
        self._schedule_review(waiting, now)
        self.overload.record(now)
        if self._waiting_since is None:
            self._waiting_since, self._served_cost = now, 0.0
        return WAIT

    def _schedule_review(self, waiting, now):
        request = waiting.request
        times = (
            request.received_at + part * request.latency_target for part in REVIEWS
        )
        lost_at = request.target_at - request.prefill_seconds
        if waiting.promised:
            lost_at = request.deadline - request.prefill_seconds
        at = next((time for time in times if time > now), max(now, lost_at))
        heappush(self._reviews, (at, waiting.sequence, request.key))

    def _review(self, room, now):
        """Return the refusals of waiting requests that more urgent ones displaced."""
        decisions = []
        while self._reviews and self._reviews[0][0] <= now:
            _, sequence, key = heappop(self._reviews)
            waiting = self._waiting.get(key)
            if waiting is None or waiting.sequence != sequence:
                continue
            if self._is_lost(waiting, room, now) or self._is_displaced(
                waiting, room, now
            ):
                decisions.append(self._displace(waiting, room, now))
            else:
                self._schedule_review(waiting, now)
        return decisions

    def _is_lost(self, waiting, room, now):
        request = waiting.request
        end = request.deadline if waiting.promised else request.target_at
        seconds = room.queued[request.band] / max(1.0, room.rate)
        return now + seconds + request.prefill_seconds >= end

    def _is_displaced(self, waiting, room, now):
        request = waiting.request
        if waiting.promised or now > request.received_at + request.latency_target / 4:
            return False
        cost, removed = self._queue.get_flow_costs(request.organisation, request.band)
        ahead = max(0.0, waiting.ahead - (removed - waiting.removed))
        wait = self._estimate_wait(request, room, now, ahead - cost)
        seconds = wait + request.prefill_seconds
        return seconds > (request.target_at - now) * MAX_WAITING_PART

    def _displace(self, waiting, room, now):
        request = waiting.request
        self.remove(request.key)
        wait = self._estimate_wait(request, room, now)
        return request.key, self._refuse(request, wait, room, DISPLACED, now)

    def _estimate_wait(self, request, room, now, behind=0.0):
        """Return the seconds until a request would start at an engine.

        Its flow's queued cost plus ``behind`` is ahead of it. Its own cost counts as
        that of a typical request, because a fair queue charges it only afterwards:
        large prompts would otherwise be refused several times as often as others.
        """
        rate, band = max(1.0, room.rate), request.band
        urgent = sum(self._queue.measure_served(other, now) for other in BANDS[:band])
        band_rate = max(rate - urgent, rate * GUARANTEED_SHARE[band])
        # Less urgent bands that wait get their guaranteed shares.
        band_rate /= 1.0 + sum(
            GUARANTEED_SHARE[other]
            for other in BANDS[band + 1 :]
            if self._queue.count_band(other)
        )
        queued = room.queued[band] / rate
        cost = self._typical_costs[band] + behind
        return queued + self._queue.estimate_wait(
            request.organisation, WEIGHT, band, cost, rate, band_rate, now
        )

    def _measure_scale(self, room, now):
        """Compare what the engines took in with the estimate, while requests wait.

        The estimate errs because it doesn't see how much of a prompt has been read, and
        it doesn't know limits other than the speed, such as the engines' slots.
        """
        since = self._waiting_since
        if since is None or now < since + MEASURED_AFTER:
            return
        if now < since + 2 * SERVED_DECAY:
            served = self._served_cost / (now - since)
        else:
            served = sum(self._queue.measure_served(band, now) for band in BANDS)
        scale = served * self.scale / max(1.0, room.rate)
        self.scale = min(MAX_MEASURED, max(MIN_MEASURED, scale))

    def _peek(self, free, rate):
        """Return the next item for which there is room, or None.

        While a less urgent band waits, its prompts in the engines count for all bands:
        engines read more urgent prompts first, and would otherwise never read the share
        that is guaranteed to it. The most urgent band waits for that only once another
        band is owed a part of its share.
        """
        lowest = max((b for b in BANDS if self._queue.count_band(b)), default=None)
        if lowest is None:
            return None
        if free[lowest] > 0:
            return self._queue.peek((), False)
        if free[0] <= 0 or any(self._is_owed(band, rate) for band in BANDS):
            return None
        return self._queue.peek([(band, SHORT) for band in BANDS[1:]], False)

    def _is_owed(self, band, rate):
        least = rate * OWED_SECONDS
        return self._queue.count_band(band) and self._queue.get_credit(band) > least


def make_item(request):
    """Return the QueuedWork of a request; earlier latency targets are served first."""
    work = Work(request.key, request.organisation, "", "", request.target_at)
    latest_start = request.target_at - request.prefill_seconds
    return QueuedWork(work, request.cost, (request.band, SHORT), latest_start)
