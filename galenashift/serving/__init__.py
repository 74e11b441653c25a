"""ASGI applications for callers and operators, and the pipeline executor."""

from ._caller_app import CallerApp
from ._executor import PipelineExecutor, StreamOutput
from ._http import error_location
from ._interfaces import (
    DIRECT_BODY,
    CallerService,
    DirectBody,
    OperatorService,
    PipelineItem,
)
from ._operator_app import OperatorApp

__all__ = [
    "DIRECT_BODY",
    "CallerApp",
    "CallerService",
    "DirectBody",
    "OperatorApp",
    "OperatorService",
    "PipelineExecutor",
    "PipelineItem",
    "StreamOutput",
    "error_location",
]
