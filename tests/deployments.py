"""A deployment of real processes: fake platform services and entry instances."""

import json
import uuid
from itertools import zip_longest
from typing import NamedTuple

from chervilwing.documents import CONFIG_KEY, hash_key, serialise
from chervilwing.models import (
    MODEL,
    SERVICE,
    Address,
    Configuration,
    Customer,
    Inventory,
    ModelRoute,
    Pool,
    Rules,
    Service,
    Upstream,
    WorkClass,
)
from tests.procs import HOST, Process, Processes, call, poll

API_KEY = "example-key"
AUTHORISED = {"Authorization": f"Bearer {API_KEY}"}
OTHER_KEY = "other-key"
OTHER = {"Authorization": f"Bearer {OTHER_KEY}"}


class Upstreams(NamedTuple):
    """Hold the upstream processes of a deployment."""

    engines: tuple[Process, ...]
    services: tuple[Process, ...]


def make_configuration(
    upstreams, revision=1, operation="first", centres=(), models=("memo",), fenced=True
):
    """Return a configuration with these upstreams.

    ``centres`` are the data centres of the engines in order; the others are in ``a``.
    """
    rows = [
        Upstream(
            f"engine-{i}",
            MODEL,
            "engines",
            Address(HOST, item.port),
            centre,
            fenced=fenced,
        )
        for i, (item, centre) in enumerate(
            zip_longest(upstreams.engines, centres, fillvalue="a")
        )
    ]
    rows += [
        Upstream(f"service-{i}", SERVICE, "services", Address(HOST, item.port), "a")
        for i, item in enumerate(upstreams.services)
    ]
    pools = (Pool("engines", MODEL, models), Pool("services", SERVICE))
    services = (Service("portal", "services", ("POST /notes",)),)
    rules = Rules(
        customers=(
            Customer("andesur", (hash_key(API_KEY),)),
            Customer("tournelle", (hash_key(OTHER_KEY),)),
        ),
        classes=(WorkClass("standard"),),
        routes=(ModelRoute("memo", "engines"),),
    )
    inventory = Inventory(pools, tuple(rows), services)
    return Configuration(revision, operation, inventory, rules, "test")


class Deployment:
    """Hold the processes of one test; ``close`` ends them all."""

    def __init__(self):
        self.processes = Processes()
        self.store = self.processes.start_fake("store")
        self.cloud = self.processes.start_fake("cloud", "--lag", "0.5")
        self.upstreams = Upstreams((), ())
        self.entries = []
        self.peer_ports = []

    def start_upstreams(self, engines=1, services=1, options=()):
        """Start upstreams and store a configuration that lists them."""
        start = self.processes.start_fake
        self.upstreams = Upstreams(
            tuple(start("engine", *options) for _ in range(engines)),
            tuple(start("service") for _ in range(services)),
        )
        self.put_configuration(make_configuration(self.upstreams))

    def put_configuration(self, configuration, expect=0):
        """Write the configuration to the store; return its version."""
        body = {"value": serialise(configuration), "expect": expect}
        status, answer = self.store.put(f"/kv/{CONFIG_KEY}", body)
        assert status == 200, answer
        return answer["version"]

    def list_instances(self, configuration):
        """List the configuration's upstreams as instances of the fake cloud."""
        rows = [
            {
                "name": row.name,
                "role": row.kind,
                "data_centre": row.data_centre,
                "zone": row.data_centre,
                "host": row.address.host,
                "port": row.address.port,
            }
            for row in configuration.inventory.upstreams
        ]
        assert self.cloud.post("/-/instances", {"instances": rows})[0] == 200

    def start_entry(
        self,
        name,
        *options,
        data_centre="a",
        store=None,
        cloud=None,
        peer=None,
        ready=True,
    ):
        """Start an entry instance and wait until it is ready.

        ``peer`` is a relay process through which other instances connect to this one.
        """
        seeds = ",".join(f"{HOST}:{port}" for port in self.peer_ports)
        entry = self.processes.start_daemon(
            *("--listen", f"{HOST}:0", "--peer-listen", f"{HOST}:0"),
            *("--name", name, "--data-centre", data_centre),
            *("--store", f"{HOST}:{(store or self.store).port}"),
            *("--cloud", f"{HOST}:{(cloud or self.cloud).port}"),
            *("--instance-list", f"{HOST}:{(cloud or self.cloud).port}"),
            *("--peer-address", f"{HOST}:{peer.port}" if peer else ""),
            *("--peers", seeds, "--drain-lag", "0.2", *options),
        )
        if peer:
            peer.fault(to=f"{HOST}:{entry.info['peer_port']}")
        self.entries.append(entry)
        self.peer_ports.append(peer.port if peer else entry.info["peer_port"])
        if ready:
            poll(lambda: entry.get("/-/ready")[0] == 200)
        return entry

    def close(self):
        """End every process of the test."""
        self.processes.close()


def complete(entry, prompt="hello", count=8, stream=False, headers=()):
    """Send one completion request and return its response."""
    body = {"model": "memo", "prompt": prompt, "max_tokens": count, "stream": stream}
    path = "/v1/completions"
    return call(entry.port, "POST", path, body, AUTHORISED | dict(headers))


def read_stream(answer):
    """Return the text of a streamed response, and whether its end marker arrived."""
    events = answer.events()
    ended = bool(events) and events[-1] == "[DONE]"
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks), ended


def new_key(now):
    """Return an idempotency key, a UUIDv7, for a Unix time in seconds."""
    number = int(now * 1000) << 80 | uuid.uuid4().int & ((1 << 80) - 1)
    number = number & ~(0xF << 76) | 0x7 << 76
    return str(uuid.UUID(int=number & ~(0x3 << 62) | 0x2 << 62))
