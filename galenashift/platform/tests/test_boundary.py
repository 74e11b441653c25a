"""The platform's names stay in one package."""

import re
from pathlib import Path

import galenashift

_ROOT = Path(galenashift.__file__).parent
_WIRE_NAMES = re.compile(
    r"galenashift-(attempt|deadline|expect|instance|tenant|inputs|pieces|prefix|token)"
    r"|kv-(key|range|watch|txn|lease|keep)|stage-(run|free)\b|op/config|servers/"
    r"|GALENASHIFT_NODE|cold_per_s|item_ms|headroom_mb",
    re.IGNORECASE,
)


def sources():
    for path in sorted(_ROOT.rglob("*.py")):
        if "tests" not in path.parts and _ROOT / "platform" not in path.parents:
            yield path


def test_names_on_the_wire_stand_in_the_adapter_only():
    # A name that is spelled in two places is changed in one of them.
    found = {
        path.relative_to(_ROOT): matches
        for path in sources()
        if (matches := sorted(set(_WIRE_NAMES.findall(path.read_text("utf-8")))))
    }
    assert found == {}


def test_adapter_imports_no_decisions():
    # It translates; what it imports shows whether it decides.
    allowed = {"galenashift.model", "galenashift.store"}
    for path in sorted((_ROOT / "platform").glob("*.py")):
        text = path.read_text("utf-8")
        imported = set(re.findall(r"^from (galenashift\.\w+)", text, re.MULTILINE))
        assert imported <= allowed, path
