"""Tests of the command line: output, exit codes and findings."""

import hashlib
import json
import stat
import subprocess
import sys

import anyio
from fake_roll_store import Fault
from fake_roll_store import RollStore
import msgspec
import pytest

from marigoldramp import settings_files
from marigoldramp import status
from marigoldramp import store
from marigoldramp import store_retries
from marigoldramp import takeups
from marigoldramp import ui
from marigoldramp.ui import exits
from marigoldramp.ui import status_calls
from marigoldramp_standins import instance_list
from marigoldramp_standins import objects

BUNDLE = """
number: {number}
services: [{{name: s, kind: plain_service}}]
customers: [{{name: acme, key_digests: [], services: [s], weight: {weight}}}]
"""
FLEET_KEY = b'0123456789abcdef'


class Console:
    """Runs commands against one object table and reads what they print."""

    def __init__(self, folder, capsys):
        self.folder = folder
        self.table = objects.Table()
        self.instances = instance_list.InstanceList()
        self.faults = []
        self._capsys = capsys

    def connect(self, settings):
        made = RollStore(table=self.table, faults=self.faults)
        made.instances = self.instances
        return made

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def write_bundle(self, number, weight=1.0):
        text = BUNDLE.format(number=number, weight=weight)
        return self.write(f'bundle-{number}.yaml', text)

    def run(self, *arguments):
        """Return the exit code, standard output and standard error."""
        code = ui.run([str(one) for one in arguments])
        printed = self._capsys.readouterr()
        return code, printed.out, printed.err

    def ask(self, *arguments):
        """Run a command that has to succeed; return its JSON result."""
        code, out, err = self.run(*arguments, '--output', 'json')
        assert code == exits.DONE, (out, err)
        return json.loads(out)['result']

    def bundle(self, *arguments, operator='ann'):
        options = ('--settings', self.folder / 'settings.yaml')
        if arguments[0] not in ('diff', 'history'):
            options += ('--operator', operator)
        return self.ask('bundle', *arguments, *options)

    def propose(self, number, weight=1.0):
        path = self.write_bundle(number, weight)
        digest = self.bundle('submit', path)['digest']
        for name in ('ann', 'bob'):
            key = f'file:{self.folder / name}'
            self.bundle('sign', digest, '--key', key, operator=name)
        return digest


@pytest.fixture
def console(tmp_path, capsys, monkeypatch):
    made = Console(tmp_path, capsys)
    monkeypatch.setattr(store.PlatformStore, 'find', lambda name: made.connect)
    monkeypatch.setattr(store_retries, 'FIRST_PAUSE', 0.0)
    monkeypatch.setenv('FLEET', FLEET_KEY.decode())
    operators = {
        name: made.ask('bundle', 'key', 'operator', '--out', tmp_path / name)[
            'public'
        ]
        for name in ('ann', 'bob')
    }
    made.write(
        'settings.yaml',
        'platform: {address: "http://127.0.0.1:1"}\n'
        'security: {fleet_key: "env:FLEET", operators: '
        f'{json.dumps(operators)}}}\n',
    )
    return made


def test_bundle_from_file_to_history(console):
    path = console.write_bundle(1)
    assert console.ask('bundle', 'check', path) == {'number': 1}
    digest = console.propose(1)
    assert console.bundle('roll', digest, operator='bob')['number'] == 1
    newer = console.propose(2, weight=2.0)
    assert console.bundle('diff', '--digest', newer) == {
        'in_force': 1,
        'number': 2,
        'differences': [
            {
                'section': 'customers',
                'name': 'acme',
                'change': 'changed',
                'fields': [{'field': 'weight', 'before': 1.0, 'after': 2.0}],
            }
        ],
    }
    console.bundle('roll', newer)
    history = console.bundle('history')
    assert history['in_force'] == 2
    states = [(one['number'], one['state']) for one in history['rolls']]
    assert states == [(2, 'in force'), (1, 'rolled')]
    path = console.folder / 'settings.yaml'
    trail = console.ask('audit', '--settings', path)
    done = [(one['actor'], one['action']) for one in trail['entries']]
    assert done[-5:] == [
        ('bob', 'rolled'),
        ('bob', 'roll_started'),
        ('bob', 'signed'),
        ('ann', 'signed'),
        ('ann', 'submitted'),
    ]


def test_trail_of_one_bundle_names_who_took_it_up(console):
    first = console.propose(1)
    console.bundle('roll', first)
    console.bundle('roll', console.propose(2))
    taken_up = takeups.TakeUps(
        number=1,
        digest=first,
        data_centre='north',
        instances=(takeups.TakeUp(at=2e10, instance='entry-1'),),
    )
    console.instances.put(
        instance=store.Instance(
            name='entry-1',
            role='entry',
            data_centre='north',
            host='127.0.0.1',
            call_port=1,
            control_port=1,
            datagram_port=1,
        )
    )
    key = takeups._make_key('north', 1)
    value = msgspec.json.encode(taken_up)
    console.table._apply(key, value, store.CREATE)
    path = console.folder / 'settings.yaml'
    trail = console.ask('audit', '--bundle', 1, '--settings', path)
    done = [(one['actor'], one['action']) for one in trail['entries']]
    assert done == [
        ('entry-1', 'taken_up'),
        ('ann', 'rolled'),
        ('ann', 'roll_started'),
        ('bob', 'signed'),
        ('ann', 'signed'),
        ('ann', 'submitted'),
    ]


def test_text_for_a_person(console):
    options = ('--settings', console.folder / 'settings.yaml')
    digest = console.propose(1)
    code, out, _ = console.run(
        'bundle', 'roll', digest, *options, '--operator', 'ann'
    )
    assert (code, out) == (exits.DONE, 'bundle 1 came into force\n')
    path = console.write_bundle(2, weight=3.0)
    code, out, _ = console.run('bundle', 'diff', path, *options)
    assert 'changed in customers: acme\n    weight: 1.0 -> 3.0' in out
    code, out, _ = console.run('bundle', 'history', *options)
    assert [line.split()[2:5] for line in out.splitlines()[1:]] == [
        ['1', 'ann', 'in']
    ]


@pytest.mark.parametrize(
    ('arguments', 'text'),
    [
        (['bundle', 'chek'], 'Did you mean "check"'),
        (['bundle', 'check'], 'FILE'),
        (['bundle', 'check', 'nowhere.yaml'], 'nowhere.yaml: cannot be read'),
        (['bundle', 'roll', 'ab'], '--settings'),
        (['entry', '--settings', 'nowhere.yaml'], 'cannot be read'),
        (['agent', '--settings', 'nowhere.yaml'], 'cannot be read'),
        (['settings', 'check', 'nowhere.yaml'], 'cannot be read'),
        (['settings', 'show', 'nowhere.yaml'], 'cannot be read'),
        (['status', '--settings', 'nowhere.yaml'], 'cannot be read'),
        (['audit', '--settings', 'nowhere.yaml'], 'cannot be read'),
        (['audit', '--days', '0', '-s', 'x'], '--days'),
        (['bundle', 'key', 'caller', '--key', 'x'], 'env:NAME or file:PATH'),
        (['bundle', 'key', 'operator', '--out', '/nowhere/x'], 'No such file'),
    ],
)
def test_bad_input(console, arguments, text):
    code, _, err = console.run(*arguments)
    assert code == exits.BAD_INPUT
    assert text in err


def test_findings_as_text_and_as_json(console):
    path = console.write('bad.yaml', 'number: 0\nnte: x\n')
    code, out, err = console.run('bundle', 'check', path)
    assert code == exits.BAD_INPUT
    assert err.splitlines() == [
        f'{path}:1:9: number: must be greater than 0',
        f"{path}:2:1: nte: unknown key; the nearest known key is 'note'",
        '2 findings',
    ]
    code, out, _ = console.run('bundle', 'check', path, '--output', 'json')
    assert code == exits.BAD_INPUT
    report = json.loads(out)
    assert report['outcome'] == 'bad_input'
    assert [one['line'] for one in report['findings']] == [1, 2]


def lower_number(console, digest):
    console.bundle('roll', digest)


def outage(console, digest):
    console.table.faults.outage = True


def lost_requests(console, digest):
    console.faults.extend([Fault.LOST_REQUEST] * store_retries.ATTEMPTS)


@pytest.mark.parametrize(
    ('prepare', 'code', 'outcome'),
    [
        (lower_number, exits.REFUSED, 'refused'),
        (outage, exits.PLATFORM_UNAVAILABLE, 'platform_unavailable'),
        (lost_requests, exits.OUTCOME_UNCERTAIN, 'outcome_uncertain'),
    ],
)
def test_exit_code_says_how_a_roll_ended(console, prepare, code, outcome):
    digest = console.propose(1)
    prepare(console, digest)
    ended, out, _ = console.run(
        'bundle',
        'roll',
        digest,
        '--settings',
        console.folder / 'settings.yaml',
        '--operator',
        'ann',
        '--output',
        'json',
    )
    assert ended == code
    assert json.loads(out)['outcome'] == outcome


@pytest.mark.parametrize('command', ['history', 'audit', 'diff', 'submit'])
def test_outage_is_told(console, command):
    console.table.faults.outage = True
    arguments = ['audit'] if command == 'audit' else ['bundle', command]
    if command in ('diff', 'submit'):
        arguments.append(console.write_bundle(1))
    if command == 'submit':
        arguments += ['--operator', 'ann']
    code, _, err = console.run(
        *arguments, '--settings', console.folder / 'settings.yaml'
    )
    assert code == exits.PLATFORM_UNAVAILABLE
    assert 'platform unavailable' in err


def test_reader_that_goes_does_not_change_the_exit_code(console, monkeypatch):
    """A roll whose output nobody reads is done all the same.

    Symptom: a script takes a roll for failed.  Sequence: the output goes to
    a program that ends early.  Cause: printing fails after the roll.
    """
    digest = console.propose(1)

    def fail(*arguments, **rest):
        raise BrokenPipeError

    with monkeypatch.context() as patched:
        patched.setattr('builtins.print', fail)
        code = ui.run(
            [
                'bundle',
                'roll',
                digest,
                '--settings',
                str(console.folder / 'settings.yaml'),
                '--operator',
                'ann',
            ]
        )
    assert code == exits.DONE


def test_interrupted_roll_is_uncertain(console, monkeypatch):
    digest = console.propose(1)

    def interrupt(*arguments):
        raise KeyboardInterrupt

    monkeypatch.setattr('marigoldramp.ui.platform_calls.run', interrupt)
    code, _, err = console.run(
        'bundle',
        'roll',
        digest,
        '--settings',
        console.folder / 'settings.yaml',
        '--operator',
        'ann',
    )
    assert code == exits.OUTCOME_UNCERTAIN
    assert 'may be in force' in err


def test_settings_show_keeps_secrets_as_references(console):
    path = console.folder / 'settings.yaml'
    shown = console.ask('settings', 'show', path)
    assert shown['security']['fleet_key'] == 'env:FLEET'
    assert shown['membership']['heartbeat'] == 0.5
    code, out, _ = console.run('settings', 'show', path)
    assert 'fleet_key: env:FLEET' in out
    assert FLEET_KEY.decode() not in out


def test_private_key_is_for_its_owner_and_never_overwritten(console):
    path = console.folder / 'ann'
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    before = path.read_text()
    code, _, _ = console.run('bundle', 'key', 'operator', '--out', path)
    assert code == exits.BAD_INPUT
    assert path.read_text() == before


def test_caller_key_digest(console):
    path = console.write('caller', 'secret\n')
    shown = console.ask('bundle', 'key', 'caller', '--key', f'file:{path}')
    assert shown == {'digest': hashlib.sha256(b'secret').hexdigest()}
    made = console.ask('bundle', 'key', 'caller')
    assert made['digest'] == hashlib.sha256(made['key'].encode()).hexdigest()


STATUS = status.Status(
    instance='entry-1',
    role='entry',
    data_centre='north',
    version='1',
    incarnation=1,
    bundle=3,
    ready=True,
    leaving=False,
    in_flight=2,
    peers=[],
    alarms=[status.Alarm(name='store_away', detail='since a minute')],
)


def answer(body, code=200):
    head = f'HTTP/1.1 {code} X\r\ncontent-length: {len(body)}\r\n\r\n'
    return head.encode() + body


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('reply', 'fault'),
    [
        (answer(msgspec.json.encode(STATUS)), ''),
        (answer(b'{}', code=401), 'answered 401'),
        (answer(b'{}'), 'not understood'),
        (b'garbage\r\n\r\n', 'no answer'),
        (b'', 'no answer'),
    ],
    ids=['status', 'refused', 'other', 'garbage', 'closed'],
)
async def test_status_calls(tmp_path, reply, fault):
    tokens = status.Tokens(fleet_key=FLEET_KEY, wall=status_calls.time.time)
    genuine = []

    async def serve(stream):
        async with stream:
            head = await stream.receive()
            for line in head.split(b'\r\n'):
                name, _, value = line.partition(b': ')
                if name.lower() == status.HEADER:
                    genuine.append(tokens.check(value.decode()))
            await stream.send(reply)

    path = tmp_path / 'settings.yaml'
    path.write_text('')
    known = settings_files.read(path=str(path)).value
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        told = await status_calls.ask_all(
            known, FLEET_KEY, [f'127.0.0.1:{port}']
        )
        group.cancel_scope.cancel()
    assert genuine == [True]
    assert fault in told[0].fault
    assert (told[0].status == STATUS) == (not fault)


def test_status_table(console, monkeypatch):
    async def ask_all(known, key, addresses):
        assert key == FLEET_KEY
        return [
            status_calls.Answer(address='a:1', status=STATUS),
            status_calls.Answer(address='b:2', fault='no answer'),
        ]

    monkeypatch.setattr(status_calls, 'ask_all', ask_all)
    code, out, _ = console.run(
        'status', '--settings', console.folder / 'settings.yaml'
    )
    assert code == exits.REFUSED
    lines = out.splitlines()
    assert lines[1].split()[:5] == ['entry-1', 'entry', 'north', '3', 'ready']
    assert 'no answer' in lines[2]
    assert lines[3] == 'entry-1: store_away: since a minute'


HEAVY = (
    'cryptography',
    'grpc',
    'httpcore',
    'opentelemetry',
    'pydantic',
    'rich',
    'uvicorn',
)
LOADED = """
import sys
from marigoldramp import settings
from marigoldramp import settings_files
from marigoldramp import ui
ui.make_application()
settings_files.read(path=sys.argv[1])
print(*sorted(name for name in sys.argv[2:] if name in sys.modules))
"""


def test_no_command_loads_what_another_needs(console):
    """Entry and agent carry no library of the operators' commands.

    Symptom: each process is some tens of megabytes larger than it need be.
    Sequence: a module of the command line imports a library at its top.
    Cause: all modules of the command line are imported at the start.
    """
    path = console.folder / 'settings.yaml'
    ended = subprocess.run(
        [sys.executable, '-c', LOADED, path, *HEAVY],
        capture_output=True,
        text=True,
        check=True,
    )
    assert ended.stdout.split() == []
