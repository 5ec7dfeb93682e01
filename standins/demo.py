"""Demonstration that streams one request through a small deployment."""

from __future__ import annotations

from standins.cluster import LAYER_COUNT, THREE_STAGES, Cluster, stream_generate
from standins.engine import expected_tokens

PROMPT = "Unit 4711: describe the valve housing."
TOKENS = 16


def main() -> int:
    """Start the deployment, send the request and print the response and its lineage.

    Returns the exit status: 0 if all tokens are as expected, else 1.
    """
    print("starting a log, an entry and three agents with engines ...")
    with Cluster(THREE_STAGES) as cluster:
        token_ids: list[int] = []
        for event in stream_generate(cluster.callers_url(), PROMPT, TOKENS):
            match event.name:
                case "tokens":
                    token_ids += event.data["token_ids"]
                    print(event.data["text"], end="", flush=True)
                case "outcome":
                    outcome = event.data
    print(f"\noutcome: {outcome['outcome']} (attempts: {outcome['attempts']})")
    for stage in outcome["lineage"]:
        print(f"  layers {stage['layers']:>5} ran on {stage['host']}")
    matches_model = token_ids == expected_tokens(PROMPT, LAYER_COUNT, TOKENS)
    print(f"every token as the whole model gives it: {matches_model}")
    return 0 if matches_model and outcome["outcome"] == "answered" else 1


if __name__ == "__main__":
    raise SystemExit(main())
