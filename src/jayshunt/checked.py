"""Define the types by which values from outside are checked as they are decoded.

Other programs write to the platform's store too, so that an entry may be nested deeply,
huge, of another type, or hold control characters. Models with these types decode JSON
in strict mode: nothing is converted, and what is wrong raises a ValueError, before a
value is used as a key, an address or a number. The JSON decoder of pydantic refuses
documents that are nested deeply, with little of the thread's stack.
"""

import re
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    PlainValidator,
    ValidationError,
)

from jayshunt.dispatch.models import Address

MAX_TEXT_CHARS = 200
MAX_REASON_CHARS = 300
# Amounts of resources and durations above this are malformed; it is 24 days in ms.
MAX_COUNT = 2**31
# The largest whole number that all JSON decoders read alike.
MAX_WHOLE = 2**53
_HOST = re.compile(r"[A-Za-z0-9.-]{1,200}|\[[0-9A-Fa-f:.]{2,45}\]")
_PORT = re.compile(r"[0-9]{1,5}")


class CheckedModel(BaseModel):
    """Base of models of documents from outside; unknown fields are ignored."""

    model_config = ConfigDict(strict=True, frozen=True, allow_inf_nan=False)


def _require_printable(text: str) -> str:
    if not text.isprintable():
        raise ValueError("contains control characters")
    return text


def parse_address(value: object) -> Address:
    """Return the address in a text such as `10.0.0.9:8080` or `[::1]:8080`.

    Raise ValueError if it is none, or if its port is not from 1 to 65535.
    """
    if not isinstance(value, str):
        raise ValueError("an address is a text")
    host, _, port = value.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port):
        raise ValueError("not HOST:PORT")
    if not 1 <= int(port) <= 65_535:
        raise ValueError("the port is not from 1 to 65535")
    return Address(host, int(port))


Text = Annotated[
    str, Field(max_length=MAX_TEXT_CHARS), AfterValidator(_require_printable)
]
Name = Annotated[Text, Field(min_length=1)]
# A name that is sent as a header or as part of a path.
Token = Annotated[str, Field(pattern=r"^[!-~]{1,200}$")]
Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
Whole = Annotated[int, Field(ge=0, le=MAX_WHOLE)]
Number = Annotated[float, Field(ge=0, le=MAX_WHOLE)]
Port = Annotated[int, Field(ge=1, le=65_535)]
AddressText = Annotated[Address, PlainValidator(parse_address)]


def describe_invalid(error: Exception) -> str:
    """Return what is wrong with a document, without quoting it, as one short line.

    A document may be huge, and a configuration contains keys.
    """
    if not isinstance(error, ValidationError):
        return type(error).__name__
    first, *others = error.errors(
        include_url=False, include_context=False, include_input=False
    )
    path = ".".join(str(part) for part in first["loc"])[:MAX_TEXT_CHARS]
    more = f", and {len(others)} more" if others else ""
    return f"{path}: {first['msg']}{more}"[:MAX_REASON_CHARS]
