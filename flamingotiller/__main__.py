"""Entry point of ``python -m flamingotiller``."""

from flamingotiller import cli

if __name__ == "__main__":
    cli.main()
