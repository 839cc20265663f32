"""The folder that the processes of one gateway share: state file, restrictions of hosts, and process files."""

from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path
from typing import Final

from cloverkeel.admin.process_files import ProcessFiles
from cloverkeel.admin.restrictions_file import RestrictionsFile
from cloverkeel.admin.state import GatewayState
from cloverkeel.admin.state_file import StateFile
from cloverkeel.core.config import Config
from cloverkeel.core.log import log

MAX_NAME_CHARACTERS: Final = 64  # part of the gateway's name used in the folder's name


def shared_folder_path(config: Config) -> Path:
    """Return the folder of this gateway, unique per name and port because gateways may share a $TMPDIR."""
    name = "".join(character if character.isalnum() or character in "-_" else "_" for character in config.name)
    temporary_folder = os.environ.get("TMPDIR") or tempfile.gettempdir()
    return Path(temporary_folder) / f"cloverkeel-{name[:MAX_NAME_CHARACTERS]}-{config.listen[1]}"


class SharedFolder:
    """One process's access to the shared folder."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.state_file = StateFile(path)
        self.process_files = ProcessFiles(path)
        self.restrictions_file = RestrictionsFile(path)

    def open(self) -> GatewayState:
        """Register this process and return the state that the previous process stored.

        If the folder is unusable, log one line and return an empty state; commands then affect this process only.
        """
        try:
            self._make_folder()
            self.state_file.open_lock()
            self.process_files.register()
        except OSError as error:
            log(
                f"admin: ejections and pauses are not kept for a successor, folder={self.path} error={error.strerror}"
            )
            return GatewayState()
        return self.state_file.read() or GatewayState()

    def _make_folder(self) -> None:
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
        if self.path.stat().st_uid != os.geteuid():
            raise PermissionError(errno.EPERM, "belongs to another user")

    def close(self) -> None:
        """Unregister this process and release the lock files."""
        self.process_files.close()
        self.state_file.close()
