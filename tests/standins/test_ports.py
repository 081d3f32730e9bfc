import socket

from crankseam_standins import ports


def test_a_port_is_not_one_that_an_outgoing_connection_may_be_given():
    """A port in the ephemeral range can become the local port of another connection.

    In CI this happened between the choice of a port and the start of the listener on it.
    """
    first_ephemeral = ports._first_ephemeral()
    assert all(
        first_ephemeral - ports.CANDIDATES <= ports.free_port() < first_ephemeral for _ in range(20)
    )


def test_a_port_is_given_once_and_only_if_it_is_free(monkeypatch):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken_port = taken.getsockname()[1]
        monkeypatch.setattr(ports, "_first_ephemeral", lambda: taken_port + 1)
        monkeypatch.setattr(ports, "CANDIDATES", 4)
        chosen_ports = {ports.free_port() for _ in range(2)}
    assert len(chosen_ports) == 2 and taken_port not in chosen_ports


def test_a_process_assigns_more_ports_than_its_first_slice_has(monkeypatch):
    """A slice that was used up was searched without end."""
    monkeypatch.setattr(ports, "_assigned_ports", set())
    assigned = [ports.free_port() for _ in range(3 * ports.CANDIDATES // ports.SLICES)]
    assert len(set(assigned)) == len(assigned)


def test_processes_started_one_after_the_other_assign_ports_of_different_slices(monkeypatch):
    assigned = []
    for pid in range(1000, 1000 + ports.SLICES):
        monkeypatch.setattr(ports, "_assigned_ports", set())
        monkeypatch.setattr("os.getpid", lambda pid=pid: pid)
        assigned.append({ports.free_port() for _ in range(100)})
    assert len(set.union(*assigned)) == sum(map(len, assigned))
