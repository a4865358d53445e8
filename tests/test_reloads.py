"""Tests of settings that change while a gateway runs."""

from tempfile import TemporaryDirectory

from chervilwing.gateway_settings import FIELDS
from chervilwing.gatewayd import RELOADABLE
from tests.fakes.control import HOST
from tests.procs import poll
from tests.test_platform import PlatformCase


class TestReloads(PlatformCase):
    def test_a_new_store_address_is_used_without_a_signal(self):
        # The platform's store moves to another address, which the platform writes into
        # the settings file. A gateway that read the file only at its start would use
        # the old address forever.
        path = f"{self.enterContext(TemporaryDirectory())}/settings"
        other = self.procs.start_fake("platform")
        write_store(path, self.platform.port)
        gateway = self.start("one", settings_file=path)
        self.platform = other
        self.document["version"] = 9
        self.document["tenants"][0]["apiKeys"] = ["k2"]
        self.register("i-9")
        self.publish()
        write_store(path, other.port)
        poll(lambda: self.call(gateway, key="k2") == 200, 15)

    def test_all_reloadable_names_are_settings(self):
        self.assertLessEqual(set(RELOADABLE), {field.name for field in FIELDS})


def write_store(path, port):
    """Write a settings file with the store's address."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(f"CHERVILWING_STORE={HOST}:{port}\n")
