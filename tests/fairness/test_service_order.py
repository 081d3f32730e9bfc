"""Answers the load of a large tenant's requests in the waiting lines of a process."""

import math

from crankseam.fairness.departed_tenants import DepartedTenants
from crankseam.fairness.open_work import OpenWork
from crankseam.fairness.service_order import ServiceFairness
from crankseam.serving.fair_order import FairOrder
from crankseam.serving.routes import Configuration
from tests.fairness.factories import configuration


def test_each_service_and_priority_has_one_order_and_departures_reach_it():
    now = configuration(1, "a", "b")
    departed = DepartedTenants(OpenWork())
    departed.configured(now)
    services = ServiceFairness(lambda: now.tenants is not None, departed)
    order: FairOrder = services.order_of("s")
    assert services.order_of("s") is order
    assert services.order_of("t") is not order and services.order_of("s", 1) is not order
    order.charge("a", 5.0)
    order.charge("c", 5.0)
    assert order.start_of("a") > order.start_of("b")
    now = configuration(2, "b")
    departed.configured(now)
    assert order.start_of("a") == math.inf
    now = configuration(3, "a", "b")
    departed.configured(now)
    assert order.start_of("a") == order.start_of("b"), "what it had before it left is forgotten"
    now = Configuration(4)
    order.charge("b", 5.0)
    assert order.start_of("b") == order.start_of("c") == 0.0
