"""The folder that the processes of one gateway share: the state file, and a file for each process."""

from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path
from typing import Final

from cloverkeel.admin.process_files import ProcessFiles
from cloverkeel.admin.state import GatewayState
from cloverkeel.admin.state_file import StateFile
from cloverkeel.core.config import Config
from cloverkeel.core.log import log

MAX_NAME_CHARACTERS: Final = 64  # of the gateway's name in the folder's


def shared_folder_path(config: Config) -> Path:
    """Return the folder of this gateway: others may have the same $TMPDIR."""
    name = "".join(character if character.isalnum() or character in "-_" else "_" for character in config.name)
    temporary_folder = os.environ.get("TMPDIR") or tempfile.gettempdir()
    return Path(temporary_folder) / f"cloverkeel-{name[:MAX_NAME_CHARACTERS]}-{config.listen[1]}"


class SharedFolder:
    """What one process keeps in the folder, and reads there."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.state_file = StateFile(path)
        self.process_files = ProcessFiles(path)

    def open(self) -> GatewayState:
        """Show that this process is alive; return the state that the one before it has left.

        Where the folder cannot be used that is one line on the log, and commands count for this process alone.
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
        """Show that this process is no more."""
        self.process_files.close()
        self.state_file.close()
