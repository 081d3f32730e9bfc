"""The caller stand-in's account log records the outcome and the time of each attempt."""

import asyncio
import time

import aiohttp
from aiohttp import web

from crankseam_standins.caller import CallerPlan, CallerStandin
from tests.support.harness import MemoryAccount, serve


async def test_a_broken_answer_is_dated_when_it_broke():
    """Guards against recording the send time as the time of a broken answer.

    The auditor then missed requests that a planned stop cut off while the answer was in progress.
    """

    async def cut_off(request: web.Request) -> web.Response:
        await asyncio.sleep(0.3)
        request.transport.abort()
        return web.Response()

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", cut_off)
    runner, address = await serve(app)
    account = MemoryAccount()
    caller = CallerStandin(CallerPlan([address], "booking", 1.0, 0.0, 5.0, 0.0, 1), account)
    started = time.time()
    async with aiohttp.ClientSession() as caller._session:
        outcome, _wait = await caller._attempt("operation", b"", is_read=False)
    [told] = account.lines
    assert outcome == told["outcome"] == "broken"
    assert told["told_at"] - started >= 0.3
    await runner.cleanup()
