"""The composition root of an instance: connects the proxy with the parts that an operators' file enables.

This module is the layer above the proxy and the optional parts, so that neither imports the other. Parts that
are not enabled are not imported.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from gatebank.proxy import service
from gatebank.proxy.configuration import Configuration, ConfigurationError
from gatebank.proxy.service import OptionalParts

if TYPE_CHECKING:
    from gatebank.operator_config.operators_file import OperatorsFile
    from gatebank.proxy.dispatcher import Dispatcher
    from gatebank.recording.recorder import Recorder
    from gatebank.state_transfer.session import StateTransfer


def serve(
    configuration: Configuration, environment: Mapping[str, str], operators: OperatorsFile | None = None
) -> None:
    """Run one instance until SIGTERM.

    Args:
        configuration: The configuration to start with.
        environment: The environment variables from which the configuration is loaded again on SIGHUP.
        operators: The operators' file; None: all optional parts are off.

    Raises:
        ConfigurationError: The instance cannot start with this configuration.
    """
    service.serve(configuration, environment, optional_parts(operators))


def optional_parts(operators: OperatorsFile | None) -> OptionalParts:
    """Return the optional parts that the operators' file enables.

    Their modules are imported here, before the balancer's clock starts: importing `cryptography` alone takes
    longer than the balancer's first tick, which would look like a process that gets no processor time.
    """
    if operators is None:
        return OptionalParts()
    return OptionalParts(
        make_recorder=recorder_factory(operators),
        make_state_transfer=state_transfer_factory(operators),
    )


def recorder_factory(operators: OperatorsFile) -> Callable[[Configuration], Recorder | None]:
    """Return a factory of a started recorder.

    The factory returns None if the operators' file has no section for recording.
    """
    from gatebank.recording.section import Recording

    section = operators.find(Recording)
    if section is None:
        return lambda _: None
    from gatebank.recording.errors import RecordingError
    from gatebank.recording.recorder import Recorder

    def make(configuration: Configuration) -> Recorder:
        try:
            recorder = Recorder(section, operators.folder, configuration.name)
            recorder.start()
        except RecordingError as error:
            raise ConfigurationError(str(error), path=str(operators.path)) from error
        return recorder

    return make


def state_transfer_factory(
    operators: OperatorsFile,
) -> Callable[[Configuration, Dispatcher], StateTransfer | None]:
    """Return a factory of state transfer that is already listening.

    The factory returns None if the operators' file has no section for state transfer.
    """
    from gatebank.state_transfer.section import StateTransferSection

    section = operators.find(StateTransferSection)
    if section is None:
        return lambda *_: None
    from gatebank.keys.section import KeysSection
    from gatebank.state_transfer import session

    keys_section = operators.find(KeysSection)
    if session.needs_keys(section):
        from gatebank.state_transfer import peer_keys  # noqa: F401  # `session` imports it on first use

    def make(configuration: Configuration, dispatcher: Dispatcher) -> StateTransfer:
        name = configuration.name
        try:
            transfer = session.StateTransfer(section, keys_section, operators.folder, dispatcher, name)
            transfer.listen()
        except ConfigurationError as error:
            raise error.with_path(str(operators.path)) from error
        return transfer

    return make
