"""Look up customers, routes, services and upstreams in the configuration."""

from typing import NamedTuple

from . import calls
from .documents import hash_key
from .exceptions import NotAllowed, NotFound, Scope, UnknownCustomer
from .models import MODEL, SERVICE, Customer, WorkClass

DEFAULT_CLASS = WorkClass("standard")


class Target(NamedTuple):
    """The pool that serves a request, and the request's class and customer."""

    customer: Customer
    work_class: WorkClass
    kind: str
    pool: str
    name: str
    idempotent: bool = True


def read_bearer(headers):
    """Return the bearer token of a request, empty if there is none."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def is_allowed(customer, name):
    """Return whether a customer may use a model or service."""
    return "*" in customer.allowed or name in customer.allowed


class Directory:
    """Index one configuration; each revision gets a new directory."""

    def __init__(self, configuration):
        inventory, rules = configuration.inventory, configuration.rules
        self.revision = configuration.revision
        self._inventory_upstreams = {
            upstream.name: upstream for upstream in inventory.upstreams
        }
        self.upstreams = dict(self._inventory_upstreams)
        self._pools = {pool.name: pool for pool in inventory.pools}
        self._services = {service.name: service for service in inventory.services}
        self._routes = {route.name: route for route in rules.routes}
        self._classes = {entry.name: entry for entry in rules.classes}
        self._customers_by_name = {
            customer.name: customer for customer in rules.customers
        }
        self._customers_by_digest = {
            digest: customer
            for customer in rules.customers
            for digest in customer.key_hashes
        }

    def add_instances(self, rows):
        """Add the upstreams that only the instance list has; return them."""
        found = {
            row.name: row._replace(kind=self._pools[row.pool].kind)
            for row in rows
            if row.pool in self._pools and row.name not in self._inventory_upstreams
        }
        self.upstreams = self._inventory_upstreams | found
        return tuple(found.values())

    def find_customer(self, headers):
        """Return the customer of a request's API key, or raise UnknownCustomer."""
        customer = self._customers_by_digest.get(hash_key(read_bearer(headers)))
        if customer is None:
            raise UnknownCustomer()
        return customer

    def get_customer(self, name):
        """Return the customer with this name, or raise UnknownCustomer."""
        customer = self._customers_by_name.get(name)
        if customer is None:
            raise UnknownCustomer()
        return customer

    def find_model(self, customer, name):
        """Return the target of a model call; raise NotFound or NotAllowed."""
        route = self._routes.get(name)
        if route is None:
            raise NotFound(f"No model {name!r}.", scope=Scope(MODEL, name))
        self._check_allowed(customer, MODEL, name)
        work_class = self._find_class(route.work_class or customer.work_class)
        return Target(customer, work_class, MODEL, route.pool, name)

    def find_service(self, customer, name, method, path):
        """Return the target of a service call; raise NotFound or NotAllowed."""
        service = self._services.get(name)
        if service is None:
            raise NotFound(f"No service {name!r}.", scope=Scope(SERVICE, name))
        self._check_allowed(customer, SERVICE, name)
        repeatable = calls.is_idempotent(service, method, path)
        work_class = self._find_class(calls.find_class(service, customer, method, path))
        return Target(customer, work_class, SERVICE, service.pool, name, repeatable)

    def list_pool(self, pool):
        """Return the names of a pool's upstreams."""
        return [item.name for item in self.upstreams.values() if item.pool == pool]

    def list_models(self, customer):
        """Return the names of the models that a customer may use."""
        return [name for name in sorted(self._routes) if is_allowed(customer, name)]

    def _find_class(self, name):
        return self._classes.get(name, DEFAULT_CLASS)

    def _check_allowed(self, customer, kind, name):
        if is_allowed(customer, name):
            return
        raise NotAllowed(f"{name!r} is not allowed.", scope=Scope(kind, name))
