"""What a process writes to standard error, beside its decision log."""

from __future__ import annotations

from absl import flags, logging

__all__ = ["set_up_process_log"]


def set_up_process_log() -> None:
    """Let absl write log lines from INFO on."""
    # Options are click's; without this absl would warn of its own unparsed flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
