"""The agent: guards one backend server and runs its part of each chain."""
