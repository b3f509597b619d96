"""heathermountctl: the operators' command line.

Usage: heathermountctl [flags] COMMAND

Commands
  check FILE            check a declaration or a node's settings; needs no fleet
  diff FILE             show what applying a declaration would change
  apply FILE            put a declaration in force; needs --author and --note
  status                show every node's revision, freshness and condition
  key add ORGANISATION  issue a key; it is shown once and stored nowhere
  key withdraw ID       withdraw a key for good
  key list              list all keys without their secrets
  drain NODE            take a node's backend server out of service gracefully
  undrain NODE          put it back
  timeline              show all nodes' recent events in causal order
  explain ID FILE...    show from nodes' logs what happened to a request; needs
                        no fleet

Exit codes
  0  done
  1  not accepted: another change came first, or the node refused
  2  bad input: flags, file, organisation, key or node
  3  the store, or a node asked to drain, did not answer; when the message says
     that the outcome is not known, read back (diff, key list, status) before
     repeating
  4  accepted, but not yet confirmed by every node (each is listed); status and
     timeline: some node did not answer, or is behind

A change is pushed to three nodes of every service, and the tool waits up to
--timeout seconds until every node reports it.
"""

import os
import ssl
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import IntEnum
from pathlib import Path
from typing import Any, Final, NamedTuple

import anyio
from absl import app, flags

from heathermount.cli import actions
from heathermount.cli.actions import FleetAccess, Rollout
from heathermount.cli.explanation import explain_request, read_logs
from heathermount.cli.output import Printer
from heathermount.config.settings import (
    MIN_FLEET_SECRET_BYTES,
    SecuritySettings,
    StoreSettings,
    check_tls_files,
    is_address,
)
from heathermount.config.validation import TableValidator
from heathermount.errors import (
    ConfigurationProblem,
    ConflictingChange,
    InvalidMessage,
    PeerError,
    PeerRejected,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from heathermount.store import EtcdStore
from heathermount.wire.tls import TlsContexts

__all__ = ["ExitCode", "define_flags", "execute", "run"]


class ExitCode(IntEnum):
    """Exit codes; the module's documentation explains them."""

    OK = 0
    NOT_ACCEPTED = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
    UNCONFIRMED = 4


class Usage(Exception):
    """The command line cannot be understood; the message names the remedy."""


def run() -> None:
    """Entry point of the installed command."""
    define_flags(flags.FLAGS)
    app.run(
        lambda arguments: execute(flags.FLAGS, arguments[1:]),
        flags_parser=lambda argv: parse_flags(flags.FLAGS, argv),
    )


def define_flags(values: Any) -> None:
    """Define the tool's flags; they may come before or after the command."""
    values.set_gnu_getopt(True)
    text = flags.DEFINE_string
    text("store", "127.0.0.1:2379", "The store, ip:port.", flag_values=values)
    text("prefix", "/heathermount", "Prefix of the store's keys.", flag_values=values)
    text("fleet_secret_file", "", "File with the fleet secret.", flag_values=values)
    text("author", os.environ.get("USER", ""), "Who changes.", flag_values=values)
    text("note", "", "Why; kept with the change.", flag_values=values)
    text("tls_certificate_file", "", "PEM, if the fleet uses TLS.", flag_values=values)
    text("tls_key_file", "", "PEM key of the certificate.", flag_values=values)
    text("tls_authority_file", "", "PEM of the fleet's authority.", flag_values=values)
    flags.DEFINE_list(
        "seeds",
        [],
        "Control addresses that know the nodes when the store is down.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout", 20.0, "Seconds to wait for the nodes.", 0.1, flag_values=values
    )
    flags.DEFINE_float(
        "store_timeout", 2.0, "Seconds for one store call.", 0.1, flag_values=values
    )
    flags.DEFINE_integer(
        "base_revision", None, "Apply only on this revision.", 0, flag_values=values
    )
    flags.DEFINE_float(
        "since", 600.0, "Seconds of events to show.", 0.0, flag_values=values
    )
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=values)


def parse_flags(values: Any, argv: Sequence[str]) -> list[str]:
    """Parse flags; print the help or the problem and exit when that ends the run."""
    if {"--help", "-help", "-h", "help"} & set(argv[1:2]) or "--help" in argv:
        print(__doc__)
        print(values.main_module_help() or values.module_help(__name__))
        sys.exit(ExitCode.OK)
    try:
        return list(values(argv))
    except flags.Error as error:
        print(f"error: {error}; see --help", file=sys.stderr)
        sys.exit(ExitCode.BAD_INPUT)


def execute(values: Any, arguments: list[str]) -> int:
    """Run one command with parsed flags; return the exit code."""
    printer = Printer(values.json)
    try:
        if arguments[:1] == ["check"]:
            return check(printer, arguments[1:])
        if arguments[:1] == ["explain"]:
            return explain(printer, arguments[1:])
        command, operands = find_command(arguments)
        return anyio.run(run_command, command, values, printer, operands)
    except Exception as error:
        code = find_code(error)
        if code is None:
            raise
        printer.problem(error)
        return code


class Command(NamedTuple):
    """One command: its operands, and whether it needs the fleet secret."""

    run: Callable[[FleetAccess, Any, Printer, list[str]], Awaitable[int]]
    operands: tuple[str, ...] = ()
    needs_secret: bool = True


def find_command(arguments: list[str]) -> tuple[Command, list[str]]:
    """Return a command and its operands."""
    name, *operands = arguments or [""]
    if name == "key":
        name, *operands = [f"key {operands[0] if operands else ''}", *operands[1:]]
    command = COMMANDS.get(name)
    if command is None:
        raise Usage(f"unknown command {name!r}; see --help")
    if len(operands) != len(command.operands):
        raise Usage(f"write: {' '.join(['heathermountctl', name, *command.operands])}")
    return command, operands


def find_code(error: BaseException) -> ExitCode | None:
    """Return the exit code of an error; None for a fault of the tool itself."""
    if isinstance(error, BaseExceptionGroup):
        codes = [find_code(part) for part in error.exceptions]
        return None if None in codes else codes[0]
    match error:
        case ConflictingChange():
            return ExitCode.NOT_ACCEPTED
        case ConfigurationProblem() | Usage():
            return ExitCode.BAD_INPUT
        case PeerRejected():
            return ExitCode.NOT_ACCEPTED
        case StoreUnavailable() | StoreOutcomeUnknown() | InvalidMessage():
            return ExitCode.NO_ANSWER
        case PeerError():
            return ExitCode.NO_ANSWER if error.sent else ExitCode.NOT_ACCEPTED
    return None


async def run_command(
    command: Command, values: Any, printer: Printer, operands: list[str]
) -> int:
    settings = make_store_settings(values)
    secret = read_secret(values.fleet_secret_file) if command.needs_secret else b""
    tls = make_tls(values)
    for seed in values.seeds:
        check_address("seeds", seed)
    store = EtcdStore.from_config(settings)
    try:
        access = FleetAccess(store, secret, values.timeout, values.seeds, tls)
        return await command.run(access, values, printer, operands)
    finally:
        await store.close()


def make_store_settings(values: Any) -> StoreSettings:
    check_address("store", values.store)
    return StoreSettings(
        endpoint=values.store, prefix=values.prefix, timeout_s=values.store_timeout
    )


def check_address(flag: str, address: str) -> None:
    if not is_address(address):
        raise Usage(f"--{flag} is {address!r}; write ip:port with an IP number")


def read_secret(path: str) -> bytes:
    if not path:
        raise Usage("name the file with the fleet secret: --fleet_secret_file=FILE")
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise Usage(f"{path}: {error.strerror}; name a readable file") from error
    if len(secret) < MIN_FLEET_SECRET_BYTES:
        raise Usage(f"{path} has {len(secret)} bytes; use the fleet's secret")
    return secret


def make_tls(values: Any) -> ssl.SSLContext | None:
    """Return the context for control connections, if the flags name files."""
    security = SecuritySettings(
        tls_certificate_file=values.tls_certificate_file,
        tls_key_file=values.tls_key_file,
        tls_authority_file=values.tls_authority_file,
    )
    checker = TableValidator("flags")
    check_tls_files(checker, security)
    checker.raise_problems()
    contexts = TlsContexts.from_config(security, "flags")
    return contexts.control_client if contexts is not None else None


def require_author(values: Any) -> str:
    if not values.author:
        raise Usage("say who makes the change: --author=NAME")
    return str(values.author)


def check(printer: Printer, operands: list[str]) -> int:
    if len(operands) != 1:
        raise Usage("write: heathermountctl check FILE")
    printer.checked(operands[0], actions.check(operands[0]))
    return ExitCode.OK


def explain(printer: Printer, operands: list[str]) -> int:
    if len(operands) < 2:
        raise Usage("write: heathermountctl explain REQUEST-ID FILE...")
    request, *paths = operands
    printer.explanation(explain_request(request, read_logs(paths)))
    return ExitCode.OK


async def show_diff(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    printer.diff(await actions.diff(access, operands[0]))
    return ExitCode.OK


async def apply(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    author = require_author(values)
    if not values.note:
        raise Usage("say why, for those who read the change later: --note=TEXT")
    rollout = await actions.apply(
        access, operands[0], author, values.note, values.base_revision
    )
    return print_rollout(printer, rollout)


async def add_key(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    author = require_author(values)
    return print_rollout(printer, await actions.add(access, operands[0], author))


async def withdraw_key(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    author = require_author(values)
    return print_rollout(printer, await actions.withdraw(access, operands[0], author))


def print_rollout(printer: Printer, rollout: Rollout) -> int:
    printer.rollout(rollout)
    return ExitCode.UNCONFIRMED if rollout.unconfirmed else ExitCode.OK


async def list_keys(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    printer.keys(await actions.list_keys(access))
    return ExitCode.OK


async def show_status(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    states = await actions.read_states(access, await actions.find_nodes(access))
    printer.states(states)
    revisions = {state.status.revision for state in states if state.status}
    complete = all(state.status for state in states) and len(revisions) < 2
    return ExitCode.OK if complete else ExitCode.UNCONFIRMED


async def drain(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    reply = await actions.drain(access, operands[0], True)
    printer.drained(operands[0], True, reply)
    return ExitCode.OK


async def undrain(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    reply = await actions.drain(access, operands[0], False)
    printer.drained(operands[0], False, reply)
    return ExitCode.OK


async def show_timeline(
    access: FleetAccess, values: Any, printer: Printer, operands: list[str]
) -> int:
    since_us = int((access.clock.wall() - values.since) * 1e6)
    events, failed = await actions.collect_timeline(access, max(0, since_us))
    printer.timeline(events)
    printer.unreachable(failed)
    return ExitCode.UNCONFIRMED if failed else ExitCode.OK


COMMANDS: Final[Mapping[str, Command]] = {
    "diff": Command(show_diff, ("FILE",), needs_secret=False),
    "apply": Command(apply, ("FILE",)),
    "status": Command(show_status),
    "key add": Command(add_key, ("ORGANISATION",)),
    "key withdraw": Command(withdraw_key, ("ID",)),
    "key list": Command(list_keys, needs_secret=False),
    "drain": Command(drain, ("NODE",)),
    "undrain": Command(undrain, ("NODE",)),
    "timeline": Command(show_timeline),
}


if __name__ == "__main__":
    run()
