"""heathermountctl: the operators' command line.

Usage: heathermountctl [flags] COMMAND

Commands
  check FILE            validate a declaration or a node's settings; needs no fleet
  diff FILE             show what applying a declaration would change
  apply FILE            apply a declaration; requires --author and --note
  status                show each node's revision, its age and the node's state
  key add ORGANISATION  issue a key; it is printed once and stored nowhere
  key withdraw ID       withdraw a key permanently
  key list              list all keys without their secrets
  drain NODE            drain a node's backend server
  undrain NODE          return it to service
  timeline              show all nodes' recent events in causal order
  explain ID FILE...    show what happened to a request, from the nodes' logs;
                        needs no fleet

Exit codes
  0  success
  1  not accepted: another change came first, or the node refused
  2  invalid input: flags, file, organisation, key or node
  3  the store, or a node asked to drain, did not answer; if the message says
     that the outcome is not known, check it (diff, key list, status) before
     retrying
  4  accepted, but not confirmed by every node in time (each is listed); status
     and timeline: a node did not answer, or lags behind

A change is pushed to three nodes of each service, and the tool waits up to
--timeout seconds for every node to confirm it.
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

from heathermount.addresses import is_address
from heathermount.cli import actions
from heathermount.cli.actions import FleetAccess, Rollout
from heathermount.cli.explanation import explain_request, read_logs
from heathermount.cli.output import Printer
from heathermount.config.settings import (
    MIN_FLEET_SECRET_BYTES,
    SecuritySettings,
    StoreSettings,
    check_tls_files,
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
    """Exit codes, explained in the module docstring."""

    OK = 0
    NOT_ACCEPTED = 1
    BAD_INPUT = 2
    NO_ANSWER = 3
    UNCONFIRMED = 4


class UsageError(Exception):
    """The command line is invalid; the message says how to correct it."""


def run() -> None:
    """Entry point of the installed command."""
    define_flags(flags.FLAGS)
    app.run(
        lambda arguments: execute(flags.FLAGS, arguments[1:]),
        flags_parser=lambda argv: parse_flags(flags.FLAGS, argv),
    )


def define_flags(flag_values: Any) -> None:
    """Define the tool's flags; they may come before or after the command."""
    flag_values.set_gnu_getopt(True)
    define_string = flags.DEFINE_string
    define_string(
        "store", "127.0.0.1:2379", "The store, ip:port.", flag_values=flag_values
    )
    define_string(
        "prefix",
        "/heathermount",
        "Prefix of the store's keys.",
        flag_values=flag_values,
    )
    define_string(
        "fleet_secret_file", "", "File with the fleet secret.", flag_values=flag_values
    )
    define_string(
        "author",
        os.environ.get("USER", ""),
        "Author of the change.",
        flag_values=flag_values,
    )
    define_string(
        "note", "", "Reason for the change; stored with it.", flag_values=flag_values
    )
    define_string(
        "tls_certificate_file",
        "",
        "PEM certificate, if the fleet uses TLS.",
        flag_values=flag_values,
    )
    define_string(
        "tls_key_file", "", "PEM key of the certificate.", flag_values=flag_values
    )
    define_string(
        "tls_authority_file",
        "",
        "PEM of the fleet's certificate authority.",
        flag_values=flag_values,
    )
    flags.DEFINE_list(
        "seeds",
        [],
        "Control addresses to ask for the rosters when the store is down.",
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        "timeout",
        20.0,
        "Seconds to wait for confirmations.",
        0.1,
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        "store_timeout",
        2.0,
        "Timeout of one store call in seconds.",
        0.1,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        "base_revision",
        None,
        "Apply only if this revision is current.",
        0,
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        "since",
        600.0,
        "Age in seconds of the oldest events to show.",
        0.0,
        flag_values=flag_values,
    )
    flags.DEFINE_bool("json", False, "Print JSON.", flag_values=flag_values)


def parse_flags(flag_values: Any, argv: Sequence[str]) -> list[str]:
    """Parse the flags; exit after printing the help or a flag error."""
    if {"--help", "-help", "-h", "help"} & set(argv[1:2]) or "--help" in argv:
        print(__doc__)
        print(flag_values.main_module_help() or flag_values.module_help(__name__))
        sys.exit(ExitCode.OK)
    try:
        return list(flag_values(argv))
    except flags.Error as error:
        print(f"error: {error}; see --help", file=sys.stderr)
        sys.exit(ExitCode.BAD_INPUT)


def execute(flag_values: Any, arguments: list[str]) -> int:
    """Run one command with parsed flags; return the exit code."""
    printer = Printer(flag_values.json)
    try:
        if arguments[:1] == ["check"]:
            return run_check(printer, arguments[1:])
        if arguments[:1] == ["explain"]:
            return run_explain(printer, arguments[1:])
        command, operands = find_command(arguments)
        return anyio.run(run_command, command, flag_values, printer, operands)
    except Exception as error:
        code = find_exit_code(error)
        if code is None:
            raise
        printer.print_error(error)
        return code


class Command(NamedTuple):
    """A command's handler, its operands, and whether it needs the fleet secret."""

    run: Callable[[FleetAccess, Any, Printer, list[str]], Awaitable[int]]
    operands: tuple[str, ...] = ()
    needs_secret: bool = True


def find_command(arguments: list[str]) -> tuple[Command, list[str]]:
    """Return the command that the arguments name, and its operands."""
    name, *operands = arguments or [""]
    if name == "key":
        name, *operands = [f"key {operands[0] if operands else ''}", *operands[1:]]
    command = COMMANDS.get(name)
    if command is None:
        raise UsageError(f"unknown command {name!r}; see --help")
    if len(operands) != len(command.operands):
        raise UsageError(
            f"write: {' '.join(['heathermountctl', name, *command.operands])}"
        )
    return command, operands


def find_exit_code(error: BaseException) -> ExitCode | None:
    """Return the exit code for an error; None for a bug in the tool itself."""
    if isinstance(error, BaseExceptionGroup):
        codes = [find_exit_code(part) for part in error.exceptions]
        return None if None in codes else codes[0]
    match error:
        case ConflictingChange():
            return ExitCode.NOT_ACCEPTED
        case ConfigurationProblem() | UsageError():
            return ExitCode.BAD_INPUT
        case PeerRejected():
            return ExitCode.NOT_ACCEPTED
        case StoreUnavailable() | StoreOutcomeUnknown() | InvalidMessage():
            return ExitCode.NO_ANSWER
        case PeerError():
            return ExitCode.NO_ANSWER if error.sent else ExitCode.NOT_ACCEPTED
    return None


async def run_command(
    command: Command, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    settings = make_store_settings(flag_values)
    secret = read_secret(flag_values.fleet_secret_file) if command.needs_secret else b""
    tls = make_tls_context(flag_values)
    for seed in flag_values.seeds:
        check_address("seeds", seed)
    store = EtcdStore.from_config(settings)
    try:
        access = FleetAccess(store, secret, flag_values.timeout, flag_values.seeds, tls)
        return await command.run(access, flag_values, printer, operands)
    finally:
        await store.close()


def make_store_settings(flag_values: Any) -> StoreSettings:
    check_address("store", flag_values.store)
    return StoreSettings(
        endpoint=flag_values.store,
        prefix=flag_values.prefix,
        timeout_s=flag_values.store_timeout,
    )


def check_address(flag: str, address: str) -> None:
    if not is_address(address):
        raise UsageError(f"--{flag} is {address!r}; write ip:port with an IP address")


def read_secret(path: str) -> bytes:
    if not path:
        raise UsageError(
            "name the file with the fleet secret: --fleet_secret_file=FILE"
        )
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}; name a readable file") from error
    if len(secret) < MIN_FLEET_SECRET_BYTES:
        raise UsageError(f"{path} has {len(secret)} bytes; use the fleet's secret")
    return secret


def make_tls_context(flag_values: Any) -> ssl.SSLContext | None:
    """Return the TLS context for control connections; None without TLS flags."""
    security = SecuritySettings(
        tls_certificate_file=flag_values.tls_certificate_file,
        tls_key_file=flag_values.tls_key_file,
        tls_authority_file=flag_values.tls_authority_file,
    )
    validator = TableValidator("flags")
    check_tls_files(validator, security)
    validator.raise_problems()
    contexts = TlsContexts.from_config(security, "flags")
    return contexts.control_client if contexts is not None else None


def require_author(flag_values: Any) -> str:
    if not flag_values.author:
        raise UsageError("name the author of the change: --author=NAME")
    return str(flag_values.author)


def run_check(printer: Printer, operands: list[str]) -> int:
    if len(operands) != 1:
        raise UsageError("write: heathermountctl check FILE")
    printer.print_check(operands[0], actions.check_file(operands[0]))
    return ExitCode.OK


def run_explain(printer: Printer, operands: list[str]) -> int:
    if len(operands) < 2:
        raise UsageError("write: heathermountctl explain REQUEST-ID FILE...")
    request, *paths = operands
    printer.print_explanation(explain_request(request, read_logs(paths)))
    return ExitCode.OK


async def run_diff(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    printer.print_diff(await actions.diff_declaration(access, operands[0]))
    return ExitCode.OK


async def run_apply(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    author = require_author(flag_values)
    if not flag_values.note:
        raise UsageError(
            "give the reason for the change, which is stored with it: --note=TEXT"
        )
    rollout = await actions.roll_out_declaration(
        access, operands[0], author, flag_values.note, flag_values.base_revision
    )
    return print_rollout(printer, rollout)


async def run_add_key(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    author = require_author(flag_values)
    return print_rollout(
        printer, await actions.roll_out_new_key(access, operands[0], author)
    )


async def run_withdraw_key(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    author = require_author(flag_values)
    return print_rollout(
        printer, await actions.roll_out_key_withdrawal(access, operands[0], author)
    )


def print_rollout(printer: Printer, rollout: Rollout) -> int:
    printer.print_rollout(rollout)
    return ExitCode.UNCONFIRMED if rollout.unconfirmed else ExitCode.OK


async def run_list_keys(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    printer.print_keys(await actions.list_keys(access))
    return ExitCode.OK


async def run_status(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    states = await actions.read_states(access, await actions.find_nodes(access))
    printer.print_node_states(states)
    revisions = {state.status.revision for state in states if state.status}
    complete = all(state.status for state in states) and len(revisions) < 2
    return ExitCode.OK if complete else ExitCode.UNCONFIRMED


async def run_drain(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    reply = await actions.set_draining(access, operands[0], True)
    printer.print_draining(operands[0], True, reply)
    return ExitCode.OK


async def run_undrain(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    reply = await actions.set_draining(access, operands[0], False)
    printer.print_draining(operands[0], False, reply)
    return ExitCode.OK


async def run_timeline(
    access: FleetAccess, flag_values: Any, printer: Printer, operands: list[str]
) -> int:
    since_us = int((access.clock.wall() - flag_values.since) * 1e6)
    events, failed = await actions.collect_timeline(access, max(0, since_us))
    printer.print_timeline(events)
    printer.print_unreachable(failed)
    return ExitCode.UNCONFIRMED if failed else ExitCode.OK


COMMANDS: Final[Mapping[str, Command]] = {
    "diff": Command(run_diff, ("FILE",), needs_secret=False),
    "apply": Command(run_apply, ("FILE",)),
    "status": Command(run_status),
    "key add": Command(run_add_key, ("ORGANISATION",)),
    "key withdraw": Command(run_withdraw_key, ("ID",)),
    "key list": Command(run_list_keys, needs_secret=False),
    "drain": Command(run_drain, ("NODE",)),
    "undrain": Command(run_undrain, ("NODE",)),
    "timeline": Command(run_timeline),
}


if __name__ == "__main__":
    run()
