"""Stand-in for the platform's VM list, in which changes show after a lag."""

from __future__ import annotations

import json
import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from stand_ins.http import read_json
from stand_ins.http import read_path
from stand_ins.http import serve
from stand_ins.reactor import reactor

if TYPE_CHECKING:
    from twisted.web.server import Request


class VmListServer:
    """Serves the list read from a file; ``POST /control`` changes it after ``lag_s``."""

    def __init__(self, *, vms: list[dict[str, Any]]) -> None:
        self._vms = {vm["vm"]: vm for vm in vms}

    def handle(self, request: Request) -> Any:
        """Answer with the list, or schedule a change."""
        if read_path(request) != "/control":
            return list(self._vms.values())
        request_body = read_json(request)
        reactor.callLater(request_body.get("lag_s", 0), self._apply, request_body)
        return {}

    def _apply(self, request_body: dict[str, Any]) -> None:
        for vm in request_body.get("put", []):
            self._vms[vm["vm"]] = vm
        for name in request_body.get("remove", []):
            self._vms.pop(name, None)
        for name in request_body.get("leaving", []):
            self._vms[name] = {**self._vms[name], "leaving": True}


def main() -> None:
    """Serve the list in a JSON file: ``vm_list PORT FILE``."""
    vms = json.loads(Path(sys.argv[2]).read_text(encoding="utf-8"))
    serve(VmListServer(vms=vms).handle, int(sys.argv[1]))


if __name__ == "__main__":
    main()
