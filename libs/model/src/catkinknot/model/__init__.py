"""Data types shared by all parts: jobs, configuration, result codes, clocks and errors."""

from ._check import adapter, check_json, check_python, to_json, to_python
from ._clock import Clock, SteppedClock, SystemClock
from ._codes import CODE_TABLE, CodeInfo, Ran, ResultCode, code_info
from ._config import (
    MAX_GANG_ACCELERATORS,
    CallerLimits,
    Configuration,
    GuaranteedShape,
    Kind,
    Workspace,
    Zone,
    check_config,
    config_faults,
)
from ._jobs import KEY_PATTERN, JobId, JobRequest, JobResult, Outcome, seal_result
from ._questionnaire import Questionnaire, generate_config, load_questionnaire
from ._settings import Address, KeyFiles, Settings, load_settings

__all__ = [
    "CODE_TABLE",
    "KEY_PATTERN",
    "MAX_GANG_ACCELERATORS",
    "Address",
    "CallerLimits",
    "Clock",
    "CodeInfo",
    "Configuration",
    "GuaranteedShape",
    "JobId",
    "JobRequest",
    "JobResult",
    "KeyFiles",
    "Kind",
    "Outcome",
    "Questionnaire",
    "Ran",
    "ResultCode",
    "Settings",
    "SteppedClock",
    "SystemClock",
    "Workspace",
    "Zone",
    "adapter",
    "check_config",
    "check_json",
    "check_python",
    "code_info",
    "config_faults",
    "generate_config",
    "load_questionnaire",
    "load_settings",
    "seal_result",
    "to_json",
    "to_python",
]
