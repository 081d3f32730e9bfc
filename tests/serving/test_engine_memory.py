from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.engine_memory import REMOTE_RUN_TOKENS, EngineMemory, RunSize
from crankseam.serving.load_reports import LoadReport

MEMORY = EngineMemory(10_000, 75)


def back_end(**runs):
    found = BackEnd(BackEndRecord("s", "llm", "10.0.0.1:1", "z", 8))
    found.runs.update(runs)
    found.in_flight = len(runs)
    return found


def test_a_run_is_expected_to_make_as_much_again():
    assert RunSize(250, 0).expected_tokens(MEMORY) == 250 + 10 * 75
    assert RunSize(250, 5).expected_tokens(MEMORY) == 250 + 15 * 75
    assert RunSize(250, 40).expected_tokens(MEMORY) == 250 + 80 * 75


def test_no_run_is_expected_beyond_what_it_may_make():
    assert RunSize(250, 40, max_tokens=4000).expected_tokens(MEMORY) == 4000


def test_memory_is_shared_with_what_is_there_and_with_others_runs():
    size = RunSize(250, 20)
    assert back_end().has_memory_for(RunSize(250, 500), MEMORY, 0.0), "alone it runs anywhere"
    with_one_run = back_end(a=RunSize(250, 40))
    assert with_one_run.has_memory_for(size, MEMORY, 0.0)
    with_two_runs = back_end(a=RunSize(250, 40), b=RunSize(250, 10))
    assert not with_two_runs.has_memory_for(size, MEMORY, 0.0)
    with_one_run.report_load(LoadReport(1 + 1, 0, 8))
    now = with_one_run.reported_at
    left = MEMORY.tokens - REMOTE_RUN_TOKENS - RunSize(250, 40).expected_tokens(MEMORY)
    assert with_one_run.has_memory_for(size, MEMORY, now) == (size.expected_tokens(MEMORY) <= left)
