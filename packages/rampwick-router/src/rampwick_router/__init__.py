"""The rampwickd daemon."""

from ._daemon import (
    Clocks as Clocks,
    Daemon as Daemon,
    run_daemon as run_daemon,
)
from ._dialects import (
    MAX_WHOLE_NUMBER as MAX_WHOLE_NUMBER,
    AttemptTerms as AttemptTerms,
    CacheEvent as CacheEvent,
    CacheEvents as CacheEvents,
    ControlRequest as ControlRequest,
    Dialects as Dialects,
    ErrorResponse as ErrorResponse,
    RawCall as RawCall,
    RequestRate as RequestRate,
    ResponseInfo as ResponseInfo,
    RoutedCall as RoutedCall,
    UpstreamSignals as UpstreamSignals,
    read_request_rate as read_request_rate,
    read_resumed_id as read_resumed_id,
    read_signals as read_signals,
    read_whole_number as read_whole_number,
)
from ._errors import CallerError as CallerError
from ._headers import (
    Header as Header,
    ResponseHead as ResponseHead,
    end_to_end_headers as end_to_end_headers,
    find as find,
    has_connection_close as has_connection_close,
    keep_alive_seconds as keep_alive_seconds,
)
from ._integration import Integration as Integration
from ._log_sink import open_log as open_log
from ._main import main as main, run_host as run_host
from ._servers import Addresses as Addresses
