"""Tests of the explanation of failed requests from the nodes' logs."""

import subprocess
import sys
from pathlib import Path

import pytest
from absl import logging

from builders_gateway import (
    RunningNode,
    make_document,
    make_organisation,
    make_route,
    run_async,
    run_fleet,
    wait_for,
)
from heathermount.cli.explanation import explain_request, parse_log_line, read_logs
from heathermount.standins.platform_operator import encode_configuration
from heathermount.standins.platform_server import Fault

LOG_LINES = [
    "I0802 21:22:07.100000 1 configuration.py:48] event=configuration-applied "
    "version=7 previous=5 source=store routes=22",
    "text without a log prefix event=request-refused request=r-1",
    "I0802 21:22:07.300000 1 decisions.py:42] event=request-refused request=r-1 "
    "status=401 reason=key-unknown outcome=not-run version=7 age_s=0.861",
    "I0802 21:22:07.200000 1 decisions.py:42] event=execution-refused "
    'request=r-1.c-2 reason=shed error="two words"',
    "I0802 21:22:07.250000 1 decisions.py:42] event=request-refused request=r-10 "
    "status=503 reason=shed outcome=not-run version=7 age_s=0.861",
]


def test_merges_lines_of_a_request_and_its_calls(tmp_path: Path) -> None:
    """Guards against an explanation that mixes requests or misses calls.

    The identifier of another request begins like that of the explained one, and
    a downstream call is logged out of order.
    """
    (tmp_path / "n-1.log").write_text("\n".join(LOG_LINES))
    explanation = explain_request("r-1", read_logs([str(tmp_path / "n-1.log")]))
    assert [line.kind for line in explanation.lines] == [
        "configuration-applied",
        "execution-refused",
        "request-refused",
    ]
    assert explanation.verdict.startswith("n-1 answered 401 (key-unknown, not-run)")
    assert explanation.lines[1].fields["error"] == "two words"


def test_takes_node_name_from_merged_logs() -> None:
    """Guards against lines of merged logs that are attributed to the wrong node.

    A log collector writes the lines of all nodes to one file, with the name of
    the node before each line.
    """
    line = parse_log_line("   1.08 sidecar-a-1 " + LOG_LINES[0], "all")
    assert line is not None and line.source == "sidecar-a-1"


def test_explain_command_names_the_cause_of_each_failure(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against failures whose cause cannot be found from their identifier.

    Fails requests by a lost answer, by the rate limit and by a removed route, and
    runs `heathermountctl explain` on the log.
    """
    path = tmp_path / "fleet.log"

    async def cause_failures() -> None:
        limited = make_organisation(rate=1.0, burst=1.0)
        route = make_route("order", "/order/", ("orders",), idempotent=False)
        document = make_document(1, [make_route(), route], [limited])
        async with run_fleet(("pantry", "orders"), document) as (store, nodes):
            entry: RunningNode = nodes[0]
            nodes[1].server.faults = [Fault.LOST]
            assert (await entry.request("/order/1", "lost-answer"))[0] == 502
            for _ in range(3):
                status, _, _ = await entry.request("/stock/1", "over-quota")
            assert status == 429
            changed = make_document(2, [route], [make_organisation()])
            store.put_as_operator("op/config", encode_configuration(changed))
            await wait_for(lambda: "version=2 previous=1" in caplog.text)
            assert (await entry.request("/stock/1", "after-change"))[0] == 404

    logging.set_verbosity(logging.INFO)
    logging.get_absl_logger().propagate = True
    with caplog.at_level("INFO", logger="absl"):
        run_async(cause_failures)
    line_format = "I0802 21:22:07.{:06} 1 file.py:1] {}"
    path.write_text(
        "\n".join(
            line_format.format(i, record.getMessage())
            for i, record in enumerate(caplog.records)
        )
    )
    expected_by_request = {
        "lost-answer": ["event=answer-broken", "server-failed, unknown"],
        "over-quota": ["event=over-rate", "organisation=anna", "over-rate, not-run"],
        "after-change": ["version=2 previous=1", "route-unknown, not-run"],
        "never-seen": ["no node refused it"],
    }
    for request, expected_texts in expected_by_request.items():
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "heathermount.cli.control",
                "explain",
                request,
                path,
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        for text in expected_texts:
            assert text in completed.stdout
