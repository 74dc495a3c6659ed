"""Runs the command line when the package is executed as a module."""

from flamingotiller import cli

if __name__ == "__main__":
    cli.main()
