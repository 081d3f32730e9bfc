"""Configuration lease: how long a node may serve under a revision."""

from hypothesis import given
from hypothesis import strategies as st

from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.config.snapshot import Pointer, StoredSnapshot
from crankseam.peers.messages import ConfigurationReading

TERM = 2.0
MARGIN = 0.1


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def stored(revision: int) -> StoredSnapshot:
    return StoredSnapshot(Pointer(revision, f"apply-{revision}", {}), [])


def lease_at(revision: int) -> tuple[ConfigurationLease, Clock]:
    clock = Clock()
    lease = ConfigurationLease(TERM, MARGIN, clock)
    lease.install(stored(revision))
    lease.confirm(ConfigurationReading(revision, 0.0), clock.now)
    return lease, clock


def test_it_runs_out_one_margin_before_the_term():
    lease, clock = lease_at(1)
    clock.now += TERM - MARGIN - 0.01
    assert lease.is_held()
    clock.now += 0.02
    assert not lease.is_held()


def test_the_age_of_a_reading_counts_from_when_it_was_asked_for():
    lease, clock = lease_at(1)
    clock.now += 1.0
    lease.confirm(ConfigurationReading(1, 0.9), asked_at=clock.now)
    assert lease.remaining() < TERM - MARGIN - 0.8


def test_a_newer_revision_must_be_fetched_before_serving_goes_on():
    lease, clock = lease_at(1)
    lease.confirm(ConfigurationReading(2, 0.0), clock.now)
    assert lease.missing_revision() == 2
    assert not lease.is_held()
    lease.install(stored(2))
    assert lease.is_held()


def test_a_node_never_goes_back():
    lease, clock = lease_at(5)
    lease.install(stored(4))
    assert lease.snapshot.revision == 5
    lease.confirm(ConfigurationReading(4, 0.0), clock.now + 10)
    assert lease.current_reading().revision == 5


def test_without_any_revision_there_is_nothing_to_serve():
    lease = ConfigurationLease(TERM, MARGIN, Clock())
    lease.confirm(ConfigurationReading(0, 0.0), 100.0)
    assert not lease.is_held()


@given(
    written_at=st.floats(0, 10),
    readings=st.lists(st.tuples(st.floats(0, 20), st.floats(0, 3)), max_size=30),
    asked=st.floats(0, 30),
)
def test_one_term_after_a_revision_is_written_no_node_serves_the_old_one(
    written_at, readings, asked
):
    """The register returns revision 2 to every read at or after the write, and 1 before it."""
    clock = Clock()
    lease = ConfigurationLease(TERM, 0.0, clock)
    lease.install(stored(1))
    for asked_at, age in readings:
        read_at = asked_at - age
        revision = 2 if read_at >= written_at else 1
        if asked_at <= asked:
            lease.confirm(ConfigurationReading(revision, age), asked_at)
    clock.now = max(asked, written_at + TERM + 0.001)
    assert not (lease.is_held() and lease.snapshot.revision < 2)
