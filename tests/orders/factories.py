"""Factories of samplers and work for the tests of orders."""

from crankseam.orders.demand import DueWork, ModelWork
from crankseam.serving.back_ends import BackEnd, BackEndRecord


def make_samplers(count, slots=8):
    records = [
        BackEndRecord(f"s{number:02d}", "llm", "1.1.1.1:1", "z", slots) for number in range(count)
    ]
    return [BackEnd(record) for record in records]


def model_work(needed_slots, priority=1, tightness=0.0):
    """Work of one priority that needs so many slots."""
    return ModelWork((DueWork(priority, 2.0 * needed_slots, 2.0),), tightness)
