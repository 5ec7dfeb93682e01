"""Outcomes reported to callers are true despite lost answers, outages and pauses.

The tests guard against calls that run twice, or that are reported as not run although
they may have run, after an answer, the log, an agent or an entry was lost. Logging a
slip is the call of the plain service that must not run twice.
"""

from __future__ import annotations

import threading
import urllib.request

from standins.cluster import (
    PIPELINE,
    Cluster,
    EngineHost,
    caller_headers,
    get,
    post,
)
from tests.lib.callers import Answer, StreamCaller, generate, log_slip, send

SLOW_CALL_MS = 800


def slips_logged(cluster: Cluster, slip: str) -> int:
    """Return how often a slip was logged, summed over all service hosts."""
    return sum(
        get(f"{cluster.service_url(f'records-{index}')}/slips").get(slip, 0)
        for index in range(cluster.service_hosts)
    )


def delay_services(cluster: Cluster) -> None:
    """Delay each answer of the plain service by ``SLOW_CALL_MS``."""
    for index in range(cluster.service_hosts):
        url = cluster.service_url(f"records-{index}")
        post(f"{url}/control/delay/{SLOW_CALL_MS}", {})


class BackgroundCall(threading.Thread):
    """Logs a slip in a separate thread."""

    def __init__(self, url: str, slip: str, **headers: str) -> None:
        super().__init__(daemon=True)
        self.answer: Answer | None = None
        self._call_arguments = (url, slip, headers)
        self.start()

    def run(self) -> None:
        """Send the call and store its answer."""
        url, slip, headers = self._call_arguments
        self.answer = log_slip(url, slip, **headers)

    def result(self) -> Answer:
        """Wait for the answer and return it."""
        self.join(30.0)
        assert self.answer is not None
        return self.answer


def test_slip_is_logged_once(two_entry_cluster: Cluster) -> None:
    answer = log_slip(two_entry_cluster.callers_url(), "slip-1")
    assert (answer.status, answer.outcome) == (201, "answered")
    assert slips_logged(two_entry_cluster, "slip-1") == 1


# A caller that retries through another entry must not run its call twice while the
# first attempt is still in progress.
def test_calls_with_one_key_at_two_entries_run_once(two_entry_cluster: Cluster) -> None:
    delay_services(two_entry_cluster)
    calls = [
        BackgroundCall(
            two_entry_cluster.callers_url(index % 2), "slip-2", Idempotency_Key="k2"
        )
        for index in range(6)
    ]
    outcomes = sorted(call.result().outcome for call in calls)
    assert slips_logged(two_entry_cluster, "slip-2") == 1
    assert "answered" in outcomes
    assert "not_run" not in outcomes


# The entry records the answer in the log shortly after it has replied, so the first
# retries may still get the outcome "unknown".
def test_repeated_key_gets_the_first_answer(two_entry_cluster: Cluster) -> None:
    first = log_slip(two_entry_cluster.callers_url(0), "slip-3", Idempotency_Key="k3")
    assert first.outcome == "answered"

    def second_is_replayed() -> bool:
        second = log_slip(
            two_entry_cluster.callers_url(1), "slip-3", Idempotency_Key="k3"
        )
        assert second.outcome != "not_run"
        if second.headers.get("Railfold-Replayed") != "true":
            return False
        assert (second.status, second.body) == (first.status, first.body)
        return True

    two_entry_cluster.wait_until(second_is_replayed, "the first answer")
    assert slips_logged(two_entry_cluster, "slip-3") == 1


def test_key_of_a_different_request_is_refused(two_entry_cluster: Cluster) -> None:
    log_slip(two_entry_cluster.callers_url(0), "slip-4", Idempotency_Key="k4")
    other_request = log_slip(
        two_entry_cluster.callers_url(1), "slip-5", Idempotency_Key="k4"
    )
    assert (other_request.status, other_request.body["code"]) == (
        400,
        "invalid_request",
    )
    assert slips_logged(two_entry_cluster, "slip-5") == 0


# The log appends the claim but its answer is lost: the entry must find its own claim by
# reading the log instead of taking it for another request's.
def test_call_runs_once_if_the_answer_to_its_claim_is_lost(
    two_entry_cluster: Cluster,
) -> None:
    two_entry_cluster.fault("lose_answer")
    answer = log_slip(two_entry_cluster.callers_url(0), "slip-6", Idempotency_Key="k6")
    assert answer.outcome == "answered"
    repeated_call = log_slip(
        two_entry_cluster.callers_url(1), "slip-6", Idempotency_Key="k6"
    )
    assert repeated_call.outcome != "not_run"
    assert slips_logged(two_entry_cluster, "slip-6") == 1


# Without the log an entry can't tell whether an earlier request with the same key ran,
# so it doesn't send the call. Other requests don't need the log.
def test_log_outage_refuses_only_calls_with_a_key(
    two_entry_cluster: Cluster,
) -> None:
    two_entry_cluster.fault("out")
    with_key = log_slip(two_entry_cluster.callers_url(), "slip-7", Idempotency_Key="k7")
    assert (with_key.status, with_key.outcome) == (503, "unknown")
    assert with_key.body["code"] == "log_unavailable"
    assert int(with_key.headers["Retry-After"]) >= 1
    assert slips_logged(two_entry_cluster, "slip-7") == 0
    without_key = log_slip(two_entry_cluster.callers_url(), "slip-8")
    assert without_key.outcome == "answered"
    assert generate(two_entry_cluster.callers_url(), "unit 1", 4).outcome == "answered"


# A claim that was given up during the outage must not block the key afterwards.
def test_key_is_usable_after_a_log_outage(two_entry_cluster: Cluster) -> None:
    two_entry_cluster.fault("out")
    log_slip(two_entry_cluster.callers_url(), "slip-9", Idempotency_Key="k9")
    two_entry_cluster.fault("ok")

    def answered() -> bool:
        answer = log_slip(
            two_entry_cluster.callers_url(1), "slip-9", Idempotency_Key="k9"
        )
        return answer.outcome == "answered"

    two_entry_cluster.wait_until(answered, "an answer")
    assert slips_logged(two_entry_cluster, "slip-9") == 1


# A paused entry holds a claim whose call may have run. Another entry must not take the
# claim over, since the first one continues when it is resumed.
def test_entry_resumed_after_a_pause_runs_no_call_twice(
    two_entry_cluster: Cluster,
) -> None:
    delay_services(two_entry_cluster)
    first = BackgroundCall(
        two_entry_cluster.callers_url(0), "slip-10", Idempotency_Key="k10"
    )
    two_entry_cluster.wait_until(
        lambda: slips_logged(two_entry_cluster, "slip-10") == 1, "the first call"
    )
    entry = two_entry_cluster.processes["entry-0"]
    entry.freeze()
    second = log_slip(
        two_entry_cluster.callers_url(1), "slip-10", Idempotency_Key="k10"
    )
    assert second.outcome == "unknown"
    entry.thaw()
    assert first.result().outcome in ("answered", "unknown")
    assert slips_logged(two_entry_cluster, "slip-10") == 1


# The service logged the slip, but the agent that would return the answer was killed. A
# Retry-After header would invite the caller to run the call again.
def test_call_is_unknown_and_not_repeated_after_its_agent_dies(
    two_entry_cluster: Cluster,
) -> None:
    delay_services(two_entry_cluster)
    call = BackgroundCall(two_entry_cluster.callers_url(), "slip-11")
    two_entry_cluster.wait_until(
        lambda: slips_logged(two_entry_cluster, "slip-11") == 1, "the call"
    )
    for index in range(2):
        two_entry_cluster.processes[f"agent-records-{index}"].kill()
    answer = call.result()
    assert answer.outcome == "unknown"
    assert "Retry-After" not in answer.headers
    assert slips_logged(two_entry_cluster, "slip-11") == 1


def test_call_is_not_sent_again_after_its_answer_is_lost(cluster: Cluster) -> None:
    # The first calls leave a keep-alive connection. When such a connection breaks, an
    # HTTP client may send its request again, which would run the call twice.
    for number in range(3):
        assert log_slip(cluster.callers_url(), f"slip-{number}").status == 201
    url = f"{cluster.callers_url()}/v1/services/line-records/drops/slip-14"
    assert send(url, {}).outcome == "unknown"
    assert slips_logged(cluster, "slip-14") == 1


def test_call_that_never_reached_its_service_is_retried(
    two_entry_cluster: Cluster,
) -> None:
    two_entry_cluster.processes["service-records-0"].kill()
    for number in range(8):
        answer = log_slip(two_entry_cluster.callers_url(), f"slip-12-{number}")
        assert answer.outcome == "answered"


def test_repeatable_call_is_retried_after_its_agent_dies(
    two_entry_cluster: Cluster,
) -> None:
    delay_services(two_entry_cluster)
    call = BackgroundCall(
        two_entry_cluster.callers_url(), "slip-13", Railfold_Repeatable="true"
    )
    two_entry_cluster.wait_until(
        lambda: slips_logged(two_entry_cluster, "slip-13") == 1, "the call"
    )
    busy_hosts = [
        agent["host"]
        for agent in two_entry_cluster.status()["agents"]
        if agent["services"] and agent["load"]
    ]
    two_entry_cluster.processes[f"agent-{busy_hosts[0]}"].kill()
    assert call.result().outcome == "answered"


def test_unrepeatable_generation_is_not_restarted(
    cluster_with_spares: Cluster,
) -> None:
    caller = StreamCaller(
        cluster_with_spares.callers_url(), "unit 5", 400, Railfold_Repeatable="false"
    )
    caller.wait_for_tokens(3)
    busy_hosts = [
        agent["host"]
        for agent in cluster_with_spares.status()["agents"]
        if agent["load"]
    ]
    cluster_with_spares.processes[f"agent-{busy_hosts[1]}"].kill()
    caller.finish()
    assert caller.outcome["outcome"] == "failed"


def test_request_ends_at_its_deadline(cluster: Cluster) -> None:
    answer = generate(cluster.callers_url(), "unit 6", 8000, Railfold_Deadline_Ms="300")
    assert (answer.status, answer.outcome) == (504, "failed")
    assert answer.body["code"] == "deadline_expired"


# A generation whose caller has disconnected must not occupy an engine until its end.
def test_disconnected_caller_frees_the_engines() -> None:
    host = EngineHost("meter-a1", 0, 11)
    with Cluster([host]) as cluster:
        status_url = f"{cluster.engine_url(host.host)}/v1/status"
        request = urllib.request.Request(
            f"{cluster.callers_url()}/v1/pipelines/{PIPELINE}/generate",
            data=b'{"prompt": "unit 7", "max_tokens": 8000, "stream": true}',
            headers=caller_headers(),
        )
        with urllib.request.urlopen(request, timeout=20.0) as response:
            response.readline()
            assert get(status_url)["open_sequences"] == 1
        cluster.wait_until(
            lambda: get(status_url)["open_sequences"] == 0, "the sequence's end"
        )
        assert cluster.status()["counters"]["callers.gone"] == 1
        assert "Traceback" not in cluster.read_log("entry-0")


# Nobody cancels the sequences of a crashed entry: its agents must end them themselves.
def test_crashed_entry_frees_the_engines() -> None:
    host = EngineHost("meter-a1", 0, 11)
    with Cluster([host]) as cluster:
        url = f"{cluster.engine_url(host.host)}/v1/status"
        caller = StreamCaller(cluster.callers_url(), "unit 7", 8000)
        caller.wait_for_tokens(2)
        assert get(url)["open_sequences"] == 1
        cluster.processes["entry-0"].kill()
        cluster.wait_until(lambda: get(url)["open_sequences"] == 0, "the orphan's end")


def test_answers_to_concurrent_callers_are_not_mixed_up(cluster: Cluster) -> None:
    callers = [
        StreamCaller(cluster.callers_url(), f"unit {index}", 20 + index)
        for index in range(16)
    ]
    for caller in callers:
        caller.assert_complete()


def test_service_status_is_returned_to_the_caller(cluster: Cluster) -> None:
    url = f"{cluster.callers_url()}/v1/services/line-records/nowhere"
    answer = send(url, method="GET")
    assert (answer.status, answer.outcome) == (404, "answered")
