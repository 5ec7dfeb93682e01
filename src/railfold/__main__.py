"""Entry point of ``python -m railfold``."""

from railfold._internal.cli.main import main

if __name__ == "__main__":
    main()
