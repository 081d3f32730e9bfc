"""Chooses the service at whose samplers an item or a scoring request waits for a place.

Inputs: the route in the newest configuration that this process has read; the back ends that
discovery lists, with their weight versions; the only weight version that may continue a text.
Rule: the weights of the route decide among its services with a suitable sampler that accepts new
work; if there is none, among those with any sampler that accepts new work; if there is none either,
among all. The choice is checked every RANK_INTERVAL_S of the dispatcher during the wait. It stays
while the route leads to the service and the service is among those; otherwise it is made again. The
request keeps its rank and its number in the order of arrival.
Purpose: what waits follows its route to another service, and does not wait for samplers that have
left while another part of the route has room.
Logged as: `wait_redirected`.
Tested by: tests/jobs/test_routed_places.py.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.routes import Route, TrafficSplitter


class PlaceTarget(NamedTuple):
    """Where a request waits for a place.

    Attributes
    ==========

    service : name of the service whose samplers are considered.
    only_version : the only suitable weight version; 0 if any is.
    """

    service: str
    only_version: int = 0


TargetFinder = Callable[[PlaceTarget | None], PlaceTarget | None]
"""Returns where a request is to wait now, given where it waits (None before it does); None if its
route is missing from the configuration."""


def usable_services(
    registry: BackEndRegistry, services: list[str], is_suitable: Callable[[BackEnd], bool]
) -> list[str]:
    """The services among which a route's weights decide.

    Parameters
    ==========

    services : the services of the route.
    is_suitable : whether a sampler may run the request, now or once it has a free slot.
    """
    accepting = registry.with_back_ends(services)
    suitable = [
        service for service in accepting if any(map(is_suitable, registry.of_service(service)))
    ]
    return suitable or accepting or services


def choose_service(
    route: Route, usable: list[str], current: PlaceTarget | None, splitter: TrafficSplitter
) -> str:
    """The service at which a request of a route waits; `current` stays if it is usable."""
    if current is not None and current.service in usable:
        return current.service
    return splitter.pick(route, usable)
