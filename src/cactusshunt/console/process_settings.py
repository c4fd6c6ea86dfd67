"""Reads the settings file of an entry or control process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.decisions.documents import check_document
from cactusshunt.decisions.documents import strip_comments
from cactusshunt.exceptions import SettingsError
from cactusshunt.schema.generated.process import ProcessSettings

if TYPE_CHECKING:
    from pathlib import Path


def read_process_settings(path: Path) -> Result[ProcessSettings, list[SettingsError]]:
    """Return the settings in a file, or all errors found in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(
            [
                SettingsError(
                    path=str(path),
                    line=0,
                    reason=f"The file cannot be read ({type(error).__name__}).",
                    remedy="Check the path, the permissions and that the file is UTF-8 text.",
                )
            ]
        )
    errors = check_document(text, "process", None)
    if errors:
        return Error(errors)
    return Ok(msgspec.json.decode(strip_comments(text), type=ProcessSettings))
