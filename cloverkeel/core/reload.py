"""Reloads files on SIGHUP while requests are served.

`FileReloader` reads and applies any files. `ConfigReloader` reloads the files of a gateway: it applies changes of the
address of discovery, the relays and the services.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from cloverkeel.core.config import Address, Config, ConfigError
from cloverkeel.core.config import load as load_config
from cloverkeel.core.log import log
from cloverkeel.core.options import Options, RelayOptions
from cloverkeel.core.options import load as load_options

Contents = TypeVar("Contents")


class FileReloader(Generic[Contents]):
    """Reloads files on request; requests during a reload are combined into one further reload.

    `read` runs in a thread, as the disk may be slow and a file long; `apply` runs on the event loop with its result.
    If `read` raises ConfigError, nothing is applied and `on_error` is called with the error.
    """

    def __init__(
        self,
        read: Callable[[], Contents],
        apply: Callable[[Contents], Awaitable[None]],
        on_error: Callable[[ConfigError], None],
    ) -> None:
        self._read = read
        self._apply = apply
        self._on_error = on_error
        self._is_requested = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no reload is running or requested."""
        return self._task is None

    def request_reload(self) -> None:
        """Reload the files now, or after the current reload. To be called on the event loop."""
        self._is_requested = True
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        try:
            while self._is_requested:
                self._is_requested = False
                contents = await asyncio.to_thread(self._read)
                await self._apply(contents)
        except ConfigError as error:
            self._on_error(error)
        finally:
            self._task = None
            if self._is_requested:
                self.request_reload()


class MovableSource(Protocol):
    """An endpoint source whose address can be changed."""

    @property
    def address(self) -> Address:
        """The address that is polled now."""

    def move(self, address: Address) -> None:
        """Poll this address from now on."""


class RelayClient(Protocol):
    """An endpoint source that polls relays."""

    def use(self, options: RelayOptions) -> None:
        """Poll the relays and services of these options from now on."""


@dataclass(slots=True, frozen=True)
class LoadedFiles:
    """The contents of a gateway's files; `options` is None if the options file is not reloaded."""

    config: Config
    options: Options | None


class ConfigReloader:
    """Reloads LB_CONFIG, and also CLOVERKEEL_OPTIONS if endpoints come from relays.

    If either file is invalid, neither is applied.
    """

    def __init__(
        self, discovery: MovableSource, relay_client: RelayClient | None = None, options: Options | None = None
    ) -> None:
        """`options`: the options currently in use."""
        self._discovery = discovery
        self._relay_client = relay_client
        self._options = options or Options()
        self._reloader = FileReloader(self._read_files, self._apply, self._on_error)

    def request_reload(self) -> None:
        """Reload the files. To be called on the event loop."""
        self._reloader.request_reload()

    def _read_files(self) -> LoadedFiles:
        config = load_config()
        options = load_options() if self._relay_client is not None else None
        return LoadedFiles(config, options)

    async def _apply(self, files: LoadedFiles) -> None:
        self._apply_config(files.config)
        if files.options is not None:
            self._apply_options(files.options)

    def _on_error(self, error: ConfigError) -> None:
        log(f"config: reload rejected, all stays as it is, error={error}")

    def _apply_config(self, config: Config) -> None:
        """Apply the address of discovery, the only part of LB_CONFIG that may change at run time."""
        if config.discovery == self._discovery.address:
            return
        host, port = config.discovery
        log(f"config: discovery moved, address={host}:{port}")
        self._discovery.move(config.discovery)

    def _apply_options(self, options: Options) -> None:
        """Apply changes of the relays and services."""
        if self._relay_client is None or options.relays == self._options.relays:
            return
        if options.relays is None:
            log("config: relays removed, polled until the next start")
            return
        log(f"config: relays changed, relays={len(options.relays.addresses)}")
        self._relay_client.use(options.relays)
        self._options = replace(self._options, relays=options.relays)
