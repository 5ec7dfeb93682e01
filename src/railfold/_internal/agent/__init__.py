"""The agent: the process beside one backend server that runs its stages of chains."""
