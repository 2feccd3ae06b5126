"""Run the command as a module."""

from rampwick_start import end_process

from ._main import main

if __name__ == "__main__":
    end_process(main())
