"""The composition root of an instance: joins the proxy with the parts that an operators' file may switch on.

It stands above both, so that neither imports the other upwards; what is not switched on is not imported.
"""

from __future__ import annotations

from collections.abc import Mapping
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
        configuration: Where it stands and what it starts with.
        environment: By which the configuration is loaded again at SIGHUP.
        operators: The operators' file; None: all that it may switch on is off.

    Raises:
        ConfigurationError: It can't start so.
    """
    service.serve(configuration, environment, optional_parts(operators))


def optional_parts(operators: OperatorsFile | None) -> OptionalParts:
    """What the operators' file switches on."""
    if operators is None:
        return OptionalParts()
    return OptionalParts(
        make_recorder=lambda configuration: make_recorder(configuration, operators),
        make_state_transfer=lambda configuration, dispatcher: make_state_transfer(
            configuration, dispatcher, operators
        ),
    )


def make_recorder(configuration: Configuration, operators: OperatorsFile) -> Recorder | None:
    """The recorder, started, if the operators' file has a section for it."""
    from gatebank.recording.errors import RecordingError
    from gatebank.recording.recorder import Recorder
    from gatebank.recording.section import Recording

    section = operators.find(Recording)
    if section is None:
        return None
    try:
        recorder = Recorder(section, operators.folder, configuration.name)
        recorder.start()
    except RecordingError as error:
        raise ConfigurationError(str(error), path=str(operators.path)) from error
    return recorder


def make_state_transfer(
    configuration: Configuration, dispatcher: Dispatcher, operators: OperatorsFile
) -> StateTransfer | None:
    """State transfer between instances, listening, if the operators' file has a section for it."""
    from gatebank.state_transfer.section import StateTransferSection

    section = operators.find(StateTransferSection)
    if section is None:
        return None
    from gatebank.keys.section import KeysSection
    from gatebank.state_transfer.session import StateTransfer

    try:
        keys_section = operators.find(KeysSection)
        transfer = StateTransfer(section, keys_section, operators.folder, dispatcher, configuration.name)
        transfer.listen()
    except ConfigurationError as error:
        raise error.at(str(operators.path)) from error
    return transfer
