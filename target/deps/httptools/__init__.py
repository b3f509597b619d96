from . import parser
from .parser import (
    HTTPProtocol,
    HttpRequestParser,
    HttpResponseParser,
    HttpParserError,
    HttpParserCallbackError,
    HttpParserInvalidStatusError,
    HttpParserInvalidMethodError,
    HttpParserInvalidURLError,
    HttpParserUpgrade,
    parse_url,
)

from ._version import __version__

__all__ = (
    "parser",
    # protocol
    "HTTPProtocol",
    # parser
    "HttpRequestParser",
    "HttpResponseParser",
    # errors
    "HttpParserError",
    "HttpParserCallbackError",
    "HttpParserInvalidStatusError",
    "HttpParserInvalidMethodError",
    "HttpParserInvalidURLError",
    "HttpParserUpgrade",
    # url parser
    "parse_url",
    # version
    "__version__",
)
