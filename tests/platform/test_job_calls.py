import msgspec
import pytest
from crankseam_platform.job_calls import _Results, _results_page

from crankseam.jobs.model import ItemResult
from tests.platform.deployment import Deployment


def test_a_page_of_results_on_the_wire():
    """The expected bytes were written by an earlier encoder, which used plain dictionaries."""
    results = [
        ItemResult("i1", True, "text", [3, 4], "signature"),
        ItemResult("i2", True, "", []),
        ItemResult("i3", False),
    ]
    page = msgspec.json.encode(_Results(9, 5, _results_page(results)))
    assert page == (
        b'{"total":9,"next_token":5,"results":['
        b'{"id":"i1","state":"completed","text":"text","versions":[3,4],"score":"signature"},'
        b'{"id":"i2","state":"completed","text":"","versions":[]},'
        b'{"id":"i3","state":"lost","text":"","versions":[]}]}'
    )


@pytest.mark.parametrize(
    "body",
    [b"[" * 90_000, b'{"requests":[{"id":"a","path":"/job/1","x":' + b"[" * 90_000],
    ids=["whole", "unknown_field"],
)
async def test_a_job_that_is_nested_too_deeply_is_a_bad_request(body):
    """It left the decoder as RecursionError, and was answered 500."""
    async with Deployment() as deployment:
        await deployment.configure()
        front = await deployment.start_front()
        status, _, answer = await deployment.ask(front, "/job/x", body, request_id="j")
        assert (status, msgspec.json.decode(answer)["outcome"]) == (400, "not_run")
