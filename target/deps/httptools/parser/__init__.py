from .protocol import HTTPProtocol
from .parser import HttpRequestParser, HttpResponseParser  # NoQA
from .errors import (
    HttpParserError,
    HttpParserCallbackError,
    HttpParserInvalidStatusError,
    HttpParserInvalidMethodError,
    HttpParserInvalidURLError,
    HttpParserUpgrade,
)
from .url_parser import parse_url

__all__ = (
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
    # url_parser
    "parse_url",
)
