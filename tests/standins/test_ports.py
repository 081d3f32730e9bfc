"""Ports that one process assigns: as many as a whole run of the tests needs, each once."""

from crankseam_standins import ports


def test_a_process_assigns_more_ports_than_its_first_slice_has(monkeypatch):
    """A slice that was used up was searched without end."""
    monkeypatch.setattr(ports, "_assigned_ports", set())
    assigned = [ports.free_port() for _ in range(3 * ports.SLICE_PORTS)]
    assert len(set(assigned)) == len(assigned)


def test_processes_started_one_after_the_other_assign_ports_of_different_slices(monkeypatch):
    assigned = []
    for pid in range(1000, 1000 + ports.SLICES):
        monkeypatch.setattr(ports, "_assigned_ports", set())
        monkeypatch.setattr("os.getpid", lambda pid=pid: pid)
        assigned.append({ports.free_port() for _ in range(100)})
    assert len(set.union(*assigned)) == sum(map(len, assigned))
