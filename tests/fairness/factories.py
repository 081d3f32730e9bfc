"""Factories of open jobs, configurations and orders for the tests of this folder."""

import msgspec

from crankseam.coordination.interface import Entry
from crankseam.fairness.departed_tenants import DepartedTenants
from crankseam.fairness.item_order import ItemFairness
from crankseam.fairness.open_work import OpenWork
from crankseam.fairness.waits import TenantWaits
from crankseam.serving.routes import Configuration
from crankseam.serving.tenants import Tenant, TenantDirectory


def open_entry(key, job):
    return Entry(key, msgspec.msgpack.encode(job), 1, 1)


def configuration(version, *tenants):
    """A configuration with a key for each of some tenants."""
    directory = TenantDirectory.of([(Tenant(name), [f"key of {name}"]) for name in tenants])
    return Configuration(version, tenants=directory)


class Shares:
    """An ItemFairness with its inputs, which a test sets."""

    def __init__(self, *tenants, clock=lambda: 0.0):
        self.work = OpenWork()
        self.departed = DepartedTenants(self.work)
        self.configure(configuration(1, *(tenants or ("a",))))
        self.fairness = ItemFairness(self.has_tenants, self.departed, self.work, TenantWaits(clock))

    def configure(self, now):
        self.configuration = now
        self.departed.configured(now)

    def has_tenants(self):
        return self.configuration is not None and self.configuration.tenants is not None
