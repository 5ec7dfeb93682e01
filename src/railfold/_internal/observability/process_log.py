"""Log on standard error, which a process writes in addition to its decision log."""

from __future__ import annotations

from absl import flags, logging

__all__ = ["set_up_process_log"]


def set_up_process_log() -> None:
    """Configure absl to write log lines of level INFO and above."""
    # click parses the command line, so absl would warn that its flags are unparsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
