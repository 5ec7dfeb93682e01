"""A planned stop lets requests in flight finish and takes no new work.

The tests guard against answers that break off, and against new work on hosts that are
about to leave, when agents and entries are stopped for maintenance.
"""

from __future__ import annotations

import http.client
import json
import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from urllib.parse import urlsplit

import pytest

from standins.cluster import (
    PIPELINE,
    SERVICE,
    Cluster,
    EngineHost,
    caller_headers,
    get,
    post,
)
from tests.lib.callers import StreamCaller, generate, log_slip, send

TOKEN_COUNT = 60

# More tokens than an engine generates while a test runs.
ENDLESS = 2000


# Settings of the entry of ``slow_cluster``.
NOTICE_S = 0.5
DRAIN_S = 6.0
PROBE_TIMEOUT_S = 5.0

# How late a process on a busy machine may be.
LATENESS_S = 0.7

# More than the sockets' buffers hold.
LARGE_BYTES = 12 * 1024 * 1024

GENERATE_PATH = f"/v1/pipelines/{PIPELINE}/generate"
SERVICE_PATH = f"/v1/services/{SERVICE}/slips/late"


@pytest.fixture
def slow_cluster() -> Iterator[Cluster]:
    """Run one entry with a short drain, one engine for one request, and a service."""
    engine = EngineHost("meter-a1", 0, 11, fixed_ms=20.0, max_sequences=1)
    overrides = {
        "drain": {"notice_s": NOTICE_S, "timeout_s": DRAIN_S},
        "routing": {"probe_timeout_s": PROBE_TIMEOUT_S},
    }
    with Cluster([engine], service_hosts=1, entry_overrides=overrides) as cluster:
        yield cluster


def connect(cluster: Cluster) -> http.client.HTTPConnection:
    """Open a connection to the entry that is kept until it is closed."""
    address = urlsplit(cluster.callers_url()).netloc
    connection = http.client.HTTPConnection(address, timeout=20.0)
    connection.connect()
    return connection


def begin_upload(
    cluster: Cluster, path: str, body: bytes
) -> http.client.HTTPConnection:
    """Send a request whose body lacks its last byte."""
    connection = connect(cluster)
    connection.putrequest("POST", path)
    for name, value in caller_headers(Content_Length=str(len(body))).items():
        connection.putheader(name, value)
    connection.endheaders(body[:-1])
    return connection


def stop_entry(cluster: Cluster, wait_s: float) -> None:
    """Send SIGTERM to the entry and wait for some of the drain."""
    cluster.processes["entry-0"].signal(signal.SIGTERM)
    time.sleep(wait_s)


def busy_hosts(cluster: Cluster) -> list[str]:
    agents = cluster.status()["agents"]
    return sorted(agent["host"] for agent in agents if agent["load"])


def test_stopped_agent_finishes_its_sequences(cluster_with_spares: Cluster) -> None:
    caller = StreamCaller(cluster_with_spares.callers_url(), "unit 1", TOKEN_COUNT)
    caller.wait_for_tokens(3)
    middle_host = busy_hosts(cluster_with_spares)[1]
    assert cluster_with_spares.processes[f"agent-{middle_host}"].stop() == 0
    caller.assert_complete()
    assert caller.outcome["attempts"] == 1


def test_draining_agent_gets_no_new_work(cluster_with_spares: Cluster) -> None:
    caller = StreamCaller(cluster_with_spares.callers_url(), "unit 1", 400)
    caller.wait_for_tokens(3)
    middle_host = busy_hosts(cluster_with_spares)[1]
    # The platform's host list doesn't mark the host as leaving.
    post(f"{cluster_with_spares.agent_url(middle_host)}/v1/drain", {})
    for number in range(6):
        answer = generate(cluster_with_spares.callers_url(), f"unit {number}", 4)
        assert answer.outcome == "answered"
        assert middle_host not in [stage["host"] for stage in answer.body["lineage"]]
    caller.assert_complete()


def test_host_listed_as_leaving_gets_no_new_work(
    cluster_with_spares: Cluster,
) -> None:
    answer = generate(cluster_with_spares.callers_url(), "unit 1", 4)
    leaving_host = answer.body["lineage"][1]["host"]
    cluster_with_spares.publish_hosts(leaving=(leaving_host,))
    cluster_with_spares.wait_until(
        lambda: cluster_with_spares.serving() == 5, "the leaving host out of service"
    )
    for number in range(6):
        answer = generate(cluster_with_spares.callers_url(), f"unit {number}", 4)
        assert leaving_host not in [stage["host"] for stage in answer.body["lineage"]]


def test_stopped_entry_finishes_its_answers(two_entry_cluster: Cluster) -> None:
    caller = StreamCaller(two_entry_cluster.callers_url(0), "unit 1", 200)
    caller.wait_for_tokens(3)
    post(f"{two_entry_cluster.entry_url(0)}/v1/drain", {})
    readiness = send(f"{two_entry_cluster.callers_url(0)}/readyz", method="GET")
    assert readiness.status == 503
    assert two_entry_cluster.processes["entry-0"].stop() == 0
    caller.assert_complete()


@pytest.mark.parametrize("name", ["agent-meter-a1", "entry-0"])
def test_idle_process_stops_cleanly(cluster: Cluster, name: str) -> None:
    assert cluster.processes[name].stop() == 0
    assert "Traceback" not in cluster.read_log(name)


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
@pytest.mark.parametrize("name", ["agent-meter-a1", "entry-0"])
def test_further_signal_in_a_drain_cuts_no_answer(
    slow_cluster: Cluster, name: str, signal_number: int
) -> None:
    caller = StreamCaller(slow_cluster.callers_url(), "unit 1", TOKEN_COUNT)
    caller.wait_for_tokens(3)
    process = slow_cluster.processes[name]
    process.signal(signal.SIGTERM)
    time.sleep(0.3)
    process.signal(signal_number)
    assert process.popen.wait(20.0) == 0
    caller.assert_complete()


def test_second_interrupt_of_a_person_ends_a_drain(cluster: Cluster) -> None:
    caller = StreamCaller(cluster.callers_url(), "unit 1", ENDLESS)
    caller.wait_for_tokens(3)
    process = cluster.processes["entry-0"]
    process.signal(signal.SIGINT)
    time.sleep(0.3)
    assert process.popen.poll() is None
    process.signal(signal.SIGINT)
    process.popen.wait(5.0)
    caller.finish()
    assert len(caller.token_ids) < ENDLESS


@pytest.mark.parametrize("path", [GENERATE_PATH, SERVICE_PATH])
def test_request_complete_late_in_a_drain_is_refused_unsent(
    slow_cluster: Cluster, path: str
) -> None:
    StreamCaller(slow_cluster.callers_url(), "unit 1", ENDLESS).wait_for_tokens(1)
    upload = begin_upload(slow_cluster, path, b'{"prompt": "x", "max_tokens": 1}')
    stop_entry(slow_cluster, NOTICE_S + LATENESS_S)
    upload.send(b"}")
    response = upload.getresponse()
    body = json.load(response)
    assert (response.status, body["code"]) == (503, "entry_stopping")
    assert response.headers["Railfold-Outcome"] == "not_run"
    assert response.headers["Connection"] == "close"
    assert response.headers["Retry-After"]


def test_kept_connection_accepts_no_request_late_in_a_drain(
    slow_cluster: Cluster,
) -> None:
    StreamCaller(slow_cluster.callers_url(), "unit 1", ENDLESS).wait_for_tokens(1)
    connection = connect(slow_cluster)
    connection.request("POST", SERVICE_PATH, b"{}", caller_headers())
    assert connection.getresponse().read()
    stop_entry(slow_cluster, NOTICE_S + LATENESS_S)
    connection.request("POST", SERVICE_PATH, b"{}", caller_headers())
    response = connection.getresponse()
    assert (response.status, json.load(response)["code"]) == (503, "entry_stopping")


def test_entry_accepts_no_connection_late_in_a_drain(slow_cluster: Cluster) -> None:
    StreamCaller(slow_cluster.callers_url(), "unit 1", ENDLESS).wait_for_tokens(1)
    stop_entry(slow_cluster, NOTICE_S + LATENESS_S)
    with pytest.raises(ConnectionRefusedError):
        connect(slow_cluster)


# A connection that is kept would lead its next requests to the leaving entry.
def test_answers_of_a_stopping_entry_close_their_connections(
    slow_cluster: Cluster,
) -> None:
    connection = connect(slow_cluster)
    connection.request("POST", SERVICE_PATH, b"{}", caller_headers())
    first = connection.getresponse()
    assert first.read()
    assert first.headers["Connection"] != "close"
    post(f"{slow_cluster.entry_url()}/v1/drain", {})
    connection.request("POST", SERVICE_PATH, b"{}", caller_headers())
    second = connection.getresponse()
    assert (second.status, second.headers["Connection"]) == (201, "close")


def test_unfinished_requests_get_final_answers_when_the_entry_exits(
    slow_cluster: Cluster,
) -> None:
    url = slow_cluster.callers_url()
    post(f"{slow_cluster.service_url('records-0')}/control/delay/20000", {})
    with ThreadPoolExecutor() as pool:
        running = pool.submit(generate, url, "unit 1", ENDLESS)
        slow_cluster.wait_until(
            lambda: slow_cluster.status()["in_flight"] == 1, "the request to run"
        )
        waiting = pool.submit(generate, url, "unit 2", 4)
        call = pool.submit(log_slip, url, "slip-1")
        slow_cluster.wait_until(
            lambda: slow_cluster.status()["in_flight"] == 2, "the call to run"
        )
        queue = f"pipeline/{PIPELINE}"
        slow_cluster.wait_until(
            lambda: slow_cluster.status()["admission"][queue]["waiting"] == 1,
            "the other request to wait",
        )
        upload = begin_upload(slow_cluster, SERVICE_PATH, b"{}")
        assert slow_cluster.processes["entry-0"].stop() == 0
        answers = [future.result() for future in (running, call, waiting)]
        response = upload.getresponse()
    assert [answer.status for answer in answers] == [502, 502, 503]
    assert [answer.outcome for answer in answers] == ["failed", "unknown", "not_run"]
    assert response.status == 503
    assert {answer.body["code"] for answer in answers} == {"entry_stopping"}


def test_stream_that_is_unfinished_when_the_entry_exits_gets_its_outcome(
    slow_cluster: Cluster,
) -> None:
    caller = StreamCaller(slow_cluster.callers_url(), "unit 1", ENDLESS)
    caller.wait_for_tokens(1)
    assert slow_cluster.processes["entry-0"].stop() == 0
    caller.finish()
    assert caller.error is None
    assert caller.outcome["code"] == "entry_stopping"


def test_stopped_agent_finishes_its_calls_and_gets_no_new_ones(
    two_entry_cluster: Cluster,
) -> None:
    url = two_entry_cluster.callers_url()
    for host in ("records-0", "records-1"):
        post(f"{two_entry_cluster.service_url(host)}/control/delay/800", {})
    with ThreadPoolExecutor() as pool:
        calls = [pool.submit(log_slip, url, f"slip-{i}") for i in range(8)]
        two_entry_cluster.wait_until(
            lambda: two_entry_cluster.status()["in_flight"] == 8, "the calls to run"
        )
        agent = two_entry_cluster.processes["agent-records-0"]
        agent.signal(signal.SIGTERM)
        late = [pool.submit(log_slip, url, f"late-{i}") for i in range(8)]
        answers = [call.result() for call in calls + late]
    assert agent.popen.wait(20.0) == 0
    assert {answer.status for answer in answers} == {201}


def test_unfinished_call_gets_a_final_answer_when_its_agent_exits() -> None:
    with Cluster([], service_hosts=2, agent_drain_s=0.5) as cluster:
        for host in ("records-0", "records-1"):
            post(f"{cluster.service_url(host)}/control/delay/5000", {})
        with ThreadPoolExecutor() as pool:
            call = pool.submit(log_slip, cluster.callers_url(), "slip-1")
            cluster.wait_until(lambda: bool(busy_hosts(cluster)), "the call to run")
            agent = cluster.processes[f"agent-{busy_hosts(cluster)[0]}"]
            assert agent.stop() == 0
            answer = call.result()
        slips = [get(f"{cluster.service_url(f'records-{i}')}/slips") for i in (0, 1)]
    assert (answer.status, answer.outcome) == (502, "unknown")
    assert slips.count({"slip-1": 1}) == 1


def test_unfinished_stream_continues_elsewhere_when_its_agent_exits() -> None:
    engines = [
        EngineHost(name, 0, 11, fixed_ms=20.0) for name in ("meter-1", "meter-2")
    ]
    with Cluster(engines, agent_drain_s=0.5) as cluster:
        caller = StreamCaller(cluster.callers_url(), "unit 1", 2 * TOKEN_COUNT)
        caller.wait_for_tokens(3)
        agent = cluster.processes[f"agent-{busy_hosts(cluster)[0]}"]
        assert agent.stop() == 0
        caller.assert_complete()
    assert caller.outcome["attempts"] > 1


def test_stopped_agent_sends_its_whole_answers_to_a_slow_entry() -> None:
    with Cluster([], service_hosts=1) as cluster:
        post(f"{cluster.service_url('records-0')}/control/delay/500", {})
        url = f"{cluster.callers_url()}/v1/services/{SERVICE}/zeros/{LARGE_BYTES}"
        with ThreadPoolExecutor() as pool:
            call = pool.submit(send, url, method="GET")
            cluster.wait_until(lambda: bool(busy_hosts(cluster)), "the call to run")
            cluster.processes["entry-0"].freeze()
            agent = cluster.processes["agent-records-0"]
            agent.signal(signal.SIGTERM)
            time.sleep(1.5)
            cluster.processes["entry-0"].thaw()
            answer = call.result()
        assert agent.popen.wait(20.0) == 0
    assert answer.status == 200
    assert len(answer.body) == LARGE_BYTES
