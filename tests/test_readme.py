"""The README's example runs as printed."""

import re
from pathlib import Path

from cloverkeel.balancing.actions import Send


def test_the_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, flags=re.S)
    namespace: dict[str, object] = {}
    exec(code, namespace)
    send = namespace["send"]
    assert isinstance(send, Send) and send.server in (1, 2)
    assert not namespace["balancer"].lifecycle.requests  # type: ignore[attr-defined]
