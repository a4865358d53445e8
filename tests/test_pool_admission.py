"""Admission by urgency: decisions on single requests."""

import unittest
from unittest.mock import Mock

from chervilwing.pool_admission import (
    AUTO,
    OFF,
    AdmissionControl,
    AdmissionRequest,
    Admit,
    CreditQueue,
    PoolAdmission,
    Refuse,
    RequestPath,
    Room,
    Wait,
    find_active_pools,
)
from chervilwing.routing import (
    STREAM,
    EngineSpec,
    PoolSpec,
    Route,
    RoutingDocument,
    Target,
)

ENGINE = EngineSpec(64, 430_017)
FREE = Room(100_000.0, (0.0, 0.0, 0.0), (15_000.0,) * 3)
FULL = Room(100_000.0, (0.0, 0.0, 15_000.0), (15_000.0, 15_000.0, 0.0))


def make_request(number, band=2, cost=1000.0, target=1.0, now=0.0, organisation="one"):
    return AdmissionRequest(
        number,
        band,
        organisation,
        cost,
        cost / 50_000.0,
        target,
        now + target,
        now + 6.0,
        now,
        f"f{number}",
    )


def fill(admission, room=FULL):
    """Queue requests until one is refused; return that request and its refusal."""
    for number in range(1000):
        request = make_request(number)
        decision = admission.decide(request, room, 0.0)
        if isinstance(decision, Refuse):
            return request, decision
    raise AssertionError("nothing was refused")


class TestDecisions(unittest.TestCase):
    def test_less_urgent_prompts_in_the_engines_do_not_delay_an_urgent_request(self):
        # One bound for all kinds refused urgent requests in a flood of others.
        admission = PoolAdmission()
        fill(admission)
        self.assertIsInstance(admission.decide(make_request("u", 0), FULL, 0.0), Admit)

    def test_a_request_that_would_be_late_is_refused_at_once(self):
        # An unbounded queue makes each request late, and each caller waits in vain.
        admission = PoolAdmission()
        fill(admission)
        self.assertLess(len(admission), 1.0 * FULL.rate / 1000)
        self.assertGreater(len(admission), 0.25 * FULL.rate / 1000)

    def test_a_duplicate_ask_waits_once(self):
        admission = PoolAdmission()
        for _ in range(2):
            self.assertIsInstance(admission.decide(make_request(1), FULL, 0.0), Wait)
        self.assertEqual(len(admission.list_admitted(FREE, 0.01)), 1)

    def test_urgent_arrivals_displace_those_that_would_be_late(self):
        # A refusal must be known within a quarter of the latency target.
        admission = PoolAdmission()
        fill(admission)
        closed = Room(FULL.rate, (15_000.0,) * 3, (0.0,) * 3)
        for number in range(60):
            admission.decide(make_request(f"u{number}", 0), closed, 0.05)
        refused = {}
        for step in range(10, 26):
            for key, decision in admission.list_admitted(closed, step / 100):
                refused[key] = (step / 100, decision.cause)
        self.assertGreater(len(refused), 5)
        self.assertLessEqual({cause for _, cause in refused.values()}, {"displaced"})

    def test_an_early_return_has_no_advantage(self):
        # Callers that ignore Retry-After would otherwise take the room of the others.
        admission = PoolAdmission()
        request, refusal = fill(admission)
        admission.update_overload(0.0)
        again = request._replace(key="again", received_at=0.1)
        early = admission.decide(again, FULL, 0.1)
        self.assertAlmostEqual(early.retry_after, refusal.retry_after - 0.1)
        self.assertEqual(early.cause, "early")

    def test_a_caller_that_returns_at_its_time_goes_first(self):
        admission = PoolAdmission()
        request, refusal = fill(admission)
        now = refusal.retry_after
        again = request._replace(key="again", received_at=now, target_at=now + 1.0)
        closed = FULL._replace(queued=(0.0,) * 3)
        self.assertIsInstance(admission.decide(again, closed, now), Wait)
        little = Room(FULL.rate, (0.0,) * 3, (0.5, 0.5, 0.5))
        admitted = [k for k, d in admission.list_admitted(little, now) if d == Admit()]
        self.assertEqual(admitted, ["again"])

    def test_reservations_are_spread_and_expire(self):
        # Callers that return at the same moment are refused again together.
        admission = PoolAdmission()
        fill(admission)
        times = [
            admission.decide(make_request(f"x{n}"), FULL, 0.0).retry_after
            for n in range(10)
        ]
        self.assertEqual(len({round(time, 2) for time in times}), 10)
        admission.expire(max(times) + 1.01)
        self.assertEqual(len(admission.reservations), 0)

    def test_an_overload_ends_a_second_after_the_last_waiting_request(self):
        admission = PoolAdmission()
        admission.decide(make_request(1), FULL, 0.0)
        self.assertTrue(admission.update_overload(0.0))
        admission.list_admitted(FREE, 0.1)
        self.assertFalse(admission.update_overload(0.9))
        self.assertTrue(admission.update_overload(1.01))

    def test_a_removed_request_is_never_admitted(self):
        admission = PoolAdmission()
        admission.decide(make_request(1), FULL, 0.0)
        self.assertTrue(admission.remove(1))
        self.assertEqual(admission.list_admitted(FREE, 0.1), [])


class TestActivation(unittest.TestCase):
    def test_only_pools_with_work_that_can_wait_are_active(self):
        # Elsewhere every decision has to stay as it is.
        def check(targets, expected, engine=ENGINE):
            routes = tuple(
                Route(f"r{n}", "h", f"/{n}/", STREAM, (Target("p"),),
                      latency_target=target, priority=n)
                for n, target in enumerate(targets)
            )  # fmt: skip
            pools = (PoolSpec("p", engine=engine),)
            document = RoutingDocument(1, routes, pools)
            self.assertEqual(find_active_pools(document), frozenset(expected))

        check((0.8, 1.2, 2.5), {"p"})
        check((0.8, 1.0, 0.5), ())
        check((0.8, 1.2, 2.5), (), engine=None)

    def test_the_setting_turns_admission_off(self):
        # Guards against a part that goes on deciding where an operator has stopped it.
        routes = [
            Route(f"r{band}", "h", "/", STREAM, (Target("p"),), 1, 9.0, target, band)
            for band, target in enumerate((0.8, 2.5))
        ]
        pools = (PoolSpec("p", engine=ENGINE),)
        document = RoutingDocument(1, tuple(routes), pools)
        control = AdmissionControl()
        self.assertEqual(control.configure(document, OFF, 0.0), [])
        self.assertEqual(control.configure(document, AUTO, 1.0), [("p", True)])
        self.assertEqual(control.configure(document, OFF, 2.0), [("p", False)])


class TestCreditQueue(unittest.TestCase):
    def test_urgent_requests_get_an_organisations_credit_first(self):
        # Less urgent requests are smaller and would take each bit of credit.
        queue = CreditQueue()
        queue.add("small", "one", 2, 1.0, 1.0)
        queue.add("large", "one", 0, 10.0, 1.0)
        queue.add("other", "two", 2, 1.0, 1.0)
        self.assertTrue(queue.must_wait("one", 2))
        taken = queue.take(lambda key: key != "large", 0.0)
        self.assertEqual(taken, ["other"])
        self.assertEqual(queue.take(lambda key: True, 0.1), ["large", "small"])


class TestRequestPath(unittest.TestCase):
    def test_a_request_whose_caller_left_while_it_waited_is_not_sent(self):
        """Guards against work for callers that have left before they had credit."""
        gateway, refuse = Mock(), Mock()
        gateway.allowances.charge.return_value = False
        gateway.placing.request_placement.return_value = True
        path = RequestPath(gateway, Mock(), Mock(), Mock(), refuse)
        route = Mock(latency_target=2.0)
        relays = [
            Mock(
                organisation_name="one", cost=1.0, priority=0, route=route, ended=False
            )
            for _ in range(2)
        ]
        for relay in relays:
            relay.received_at = 0.0
            relay.demand._replace.return_value = Mock(band=0)
            path.start(relay, 0.0)
        relays[0].ended = True
        gateway.allowances.charge.return_value = True
        path.retry_waiting_requests(0.01)
        sent = [call.args[0] for call in gateway.placing.request_placement.mock_calls]
        self.assertEqual(sent, [relays[1]])
        # The second request queued behind the first one without a try.
        self.assertEqual(gateway.allowances.charge.call_count, 2)
        self.assertEqual(gateway.allowances.remove_waiting.call_count, 2)
        refuse.assert_not_called()
