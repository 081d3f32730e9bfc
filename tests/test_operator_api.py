"""HTTP endpoints for operators, queried on a running node."""

import aiohttp

from tests.support.harness import running_cluster


async def test_metrics_of_a_running_node_name_every_gauge_that_it_sets():
    async with running_cluster() as cluster, aiohttp.ClientSession() as session:
        async with session.get(f"{cluster.url(0)}/metrics") as answer:
            assert answer.status == 200, await answer.text()
            assert "crankseam_suspects 0.0" in await answer.text()
