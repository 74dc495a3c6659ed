import pathlib
import sys

sys.path[:0] = [str(pathlib.Path(__file__).parent), str(pathlib.Path(__file__).parent.parent)]

import hypothesis  # noqa: E402

# Explaining a failure takes far longer than finding and shrinking it.
hypothesis.settings.register_profile(
    "project",
    phases=[
        hypothesis.Phase.explicit,
        hypothesis.Phase.generate,
        hypothesis.Phase.shrink,
    ],
    database=None,
)
hypothesis.settings.load_profile("project")
