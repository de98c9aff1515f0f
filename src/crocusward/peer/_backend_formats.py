"""Wire formats of the messages about backend servers, of protocol version 1."""

from typing import Any

from ._codec import message_format
from ._fields import FieldReader
from ._formats import MAX_AGE_MS, MAX_RATE_PER_S
from ._messages import (
    BackendCold,
    RateLimitEntry,
    RateLimitPermit,
    RateLimitPermitRequest,
    RateLimitReport,
    SlowStartAllowance,
    SlowStartPermit,
    SlowStartPermitRequest,
    SlowStartReport,
)

MAX_SLOW_START_ENTRIES = 4096
MAX_ALLOWED_IN_FLIGHT = 1 << 20
MAX_RATE_LIMIT_ENTRIES = 4096
MAX_PERMITS = 1 << 10


@message_format(6, BackendCold)
class BackendColdFormat:
    """Writes and reads ``BackendCold``."""

    @staticmethod
    def write(message: BackendCold) -> list[Any]:
        """Return the fields."""
        return [message.backend, message.boot]

    @staticmethod
    def read(fields: FieldReader) -> BackendCold:
        """Build the message from its fields."""
        return BackendCold(fields.text(), fields.text())


@message_format(7, SlowStartReport)
class SlowStartReportFormat:
    """Writes and reads ``SlowStartReport``."""

    @staticmethod
    def write(message: SlowStartReport) -> list[Any]:
        """Return the fields."""
        return [[[e.backend, e.boot, e.allowance] for e in message.entries]]

    @staticmethod
    def read(fields: FieldReader) -> SlowStartReport:
        """Build the message from its fields."""
        items = fields.items(MAX_SLOW_START_ENTRIES)
        return SlowStartReport(tuple(_read_allowance(item) for item in items))


def _read_allowance(item: Any) -> SlowStartAllowance:
    fields = FieldReader(item)
    entry = SlowStartAllowance(
        fields.text(), fields.text(), fields.integer(0, MAX_ALLOWED_IN_FLIGHT)
    )
    fields.check_end()
    return entry


@message_format(12, SlowStartPermitRequest)
class SlowStartPermitRequestFormat:
    """Writes and reads ``SlowStartPermitRequest``."""

    @staticmethod
    def write(message: SlowStartPermitRequest) -> list[Any]:
        """Return the fields."""
        return [message.backend, message.asked_ms]

    @staticmethod
    def read(fields: FieldReader) -> SlowStartPermitRequest:
        """Build the message from its fields."""
        return SlowStartPermitRequest(fields.text(), fields.integer(0))


@message_format(13, SlowStartPermit)
class SlowStartPermitFormat:
    """Writes and reads ``SlowStartPermit``."""

    @staticmethod
    def write(message: SlowStartPermit) -> list[Any]:
        """Return the fields."""
        return [message.backend, message.host, message.asked_ms]

    @staticmethod
    def read(fields: FieldReader) -> SlowStartPermit:
        """Build the message from its fields."""
        return SlowStartPermit(fields.text(), fields.text(), fields.integer(0))


@message_format(14, RateLimitReport)
class RateLimitReportFormat:
    """Writes and reads ``RateLimitReport``."""

    @staticmethod
    def write(message: RateLimitReport) -> list[Any]:
        """Return the fields."""
        return [[[e.backend, e.boot, e.per_s, e.age_ms] for e in message.entries]]

    @staticmethod
    def read(fields: FieldReader) -> RateLimitReport:
        """Build the message from its fields."""
        items = fields.items(MAX_RATE_LIMIT_ENTRIES)
        return RateLimitReport(tuple(_read_rate_limit(item) for item in items))


def _read_rate_limit(item: Any) -> RateLimitEntry:
    fields = FieldReader(item)
    entry = RateLimitEntry(
        fields.text(),
        fields.text(),
        fields.number(MAX_RATE_PER_S),
        fields.integer(0, MAX_AGE_MS),
    )
    fields.check_end()
    return entry


@message_format(15, RateLimitPermitRequest)
class RateLimitPermitRequestFormat:
    """Writes and reads ``RateLimitPermitRequest``."""

    @staticmethod
    def write(message: RateLimitPermitRequest) -> list[Any]:
        """Return the fields."""
        return [list(message.backends), message.count, message.asked_ms]

    @staticmethod
    def read(fields: FieldReader) -> RateLimitPermitRequest:
        """Build the message from its fields."""
        items = fields.items(MAX_RATE_LIMIT_ENTRIES)
        return RateLimitPermitRequest(
            tuple(FieldReader([item]).text() for item in items),
            fields.integer(1, MAX_PERMITS),
            fields.integer(0),
        )


@message_format(16, RateLimitPermit)
class RateLimitPermitFormat:
    """Writes and reads ``RateLimitPermit``."""

    @staticmethod
    def write(message: RateLimitPermit) -> list[Any]:
        """Return the fields."""
        return [message.backend, message.count, message.asked_ms]

    @staticmethod
    def read(fields: FieldReader) -> RateLimitPermit:
        """Build the message from its fields."""
        return RateLimitPermit(
            fields.text(), fields.integer(1, MAX_PERMITS), fields.integer(0)
        )
