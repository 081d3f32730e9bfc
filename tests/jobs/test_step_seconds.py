from crankseam.jobs.step_seconds import REMEMBERED_STEPS, StepSeconds


def test_the_shortest_of_the_last_few_counts():
    steps = StepSeconds()
    assert steps.earliest_s("m") is None
    for seconds in (1.0, 7.2, 7.4, 7.1, 7.9, 7.3):
        steps.ended("m", seconds)
    assert REMEMBERED_STEPS == 5 and steps.earliest_s("m") == 7.1
    assert steps.earliest_s("other") is None
