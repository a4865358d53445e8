"""Look-ups in the configuration in force: customers, routes, services, upstreams."""

import hashlib
from fnmatch import fnmatchcase
from typing import NamedTuple

from .exceptions import NotAllowed, NotFound, Scope, UnknownCustomer
from .models import MODEL, SERVICE, Customer, WorkClass

# RFC 9110, section 9.2.2: methods that may be repeated unless the inventory says not.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
DEFAULT_CLASS = WorkClass("standard")


class Target(NamedTuple):
    """Where a request may go and how it is treated."""

    customer: Customer
    work_class: WorkClass
    kind: str
    pool: str
    name: str
    idempotent: bool = True


def hash_key(api_key):
    """Return the digest under which the rules keep an API key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def read_bearer(headers):
    """Return the API key of a request, empty when it gives none."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def matches(patterns, method, path):
    """Tell whether a call is one that patterns such as ``POST /notes/*`` name."""
    return any(fnmatchcase(f"{method} {path}", pattern) for pattern in patterns)


class Directory:
    """Indexes over one configuration; a new revision makes a new directory."""

    def __init__(self, configuration):
        inventory, rules = configuration.inventory, configuration.rules
        self.revision = configuration.revision
        self.upstreams = {upstream.name: upstream for upstream in inventory.upstreams}
        self._pools = {pool.name: pool for pool in inventory.pools}
        self._services = {service.name: service for service in inventory.services}
        self._routes = {route.name: route for route in rules.routes}
        self._classes = {entry.name: entry for entry in rules.classes}
        self._customers = {
            digest: customer
            for customer in rules.customers
            for digest in customer.key_hashes
        }

    def find_customer(self, headers):
        """Return the customer that a request's API key names."""
        customer = self._customers.get(hash_key(read_bearer(headers)))
        if customer is None:
            raise UnknownCustomer()
        return customer

    def find_model(self, customer, name):
        """Return the target of a model call."""
        route = self._routes.get(name)
        if route is None:
            raise NotFound(f"No model {name!r}.", scope=Scope(MODEL, name))
        self._check_allowed(customer, MODEL, name)
        return Target(customer, self._find_class(customer), MODEL, route.pool, name)

    def find_service(self, customer, name, method, path):
        """Return the target of a call to a plain service."""
        service = self._services.get(name)
        if service is None:
            raise NotFound(f"No service {name!r}.", scope=Scope(SERVICE, name))
        self._check_allowed(customer, SERVICE, name)
        repeatable = method in IDEMPOTENT_METHODS or matches(
            service.idempotent, method, path
        )
        repeatable = repeatable and not matches(service.non_idempotent, method, path)
        work_class = self._find_class(customer)
        return Target(customer, work_class, SERVICE, service.pool, name, repeatable)

    def list_models(self, customer):
        """Return the names of the models that a customer may use."""
        return [
            name
            for name in sorted(self._routes)
            if name in customer.allowed or "*" in customer.allowed
        ]

    def list_shares(self, name):
        """Return the traffic shares of a model's versions."""
        return self._routes[name].shares

    def _find_class(self, customer):
        return self._classes.get(customer.work_class, DEFAULT_CLASS)

    def _check_allowed(self, customer, kind, name):
        if "*" in customer.allowed or name in customer.allowed:
            return
        raise NotAllowed(f"{name!r} is not allowed.", scope=Scope(kind, name))
