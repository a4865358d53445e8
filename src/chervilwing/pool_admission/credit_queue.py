"""Requests that wait at an instance for their organisation's credit, by priority."""

from ..queues import SHORT, FairQueue, QueuedWork
from ..work import Work


class CreditQueue:
    """Order in which waiting requests of each organisation get its credit.

    While a request lacks credit, less urgent ones of its organisation take none, except
    for the share that is guaranteed to their band.
    """

    def __init__(self):
        self._queues = {}

    def must_wait(self, organisation, band):
        """Return whether a new request has to wait behind others."""
        queue = self._queues.get(organisation)
        return queue is not None and queue.count_before(band) > 0

    def add(self, key, organisation, band, cost, target_at):
        """Add a request; ``cost`` is in units of the organisation's allowance."""
        queue = self._queues.setdefault(organisation, FairQueue())
        work = Work(key, organisation, "", "", target_at)
        queue.push(QueuedWork(work, cost, (band, SHORT), target_at), 1.0)

    def remove(self, key, organisation):
        """Remove a request."""
        queue = self._queues.get(organisation)
        if queue is None:
            return
        queue.remove(key)
        if not len(queue):
            del self._queues[organisation]

    def take(self, charge, now):
        """Return the keys of the requests that have their credit now.

        ``charge`` spends the credit for a key and returns whether it was available.
        """
        taken = []
        for organisation, queue in list(self._queues.items()):
            while (item := queue.peek((), False)) is not None:
                if not charge(item.work.request_id):
                    break
                queue.dequeue(item, now)
                taken.append(item.work.request_id)
            if not len(queue):
                del self._queues[organisation]
        return taken
