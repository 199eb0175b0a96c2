from pathlib import Path

import pytest
import yaml

from basilcove.settings import SettingsError, load_settings


def write(folder: Path, **changes: object) -> Path:
    content = {
        'node': '10.1.0.1',
        'zone': 'a',
        'roles': ['control'],
        'environment': 'production',
        'stage': 'production',
        'addresses': {'control': ['10.1.0.1:80', '10.2.0.1:80', '10.3.0.1:80'], 'port': 7000},
        'rpc': {'listen': '10.1.0.1:7000', 'insecure': True},
        'control': {'data_folder': '/data'},
        **changes,
    }
    path = folder / 'settings.yaml'
    path.write_text(yaml.safe_dump(content))
    return path


class TestAddresses:
    def test_node_ids_and_seeds_follow_from_addresses(self, tmp_path: Path) -> None:
        """Guards against a node that dials a wrong interface, or takes other hosts for the control group."""
        settings = load_settings(write(tmp_path))
        assert settings.control_nodes == ('10.1.0.1', '10.2.0.1', '10.3.0.1')
        assert settings.rpc.seeds == ('10.1.0.1:7000', '10.2.0.1:7000', '10.3.0.1:7000')

    @pytest.mark.parametrize(('first_start', 'bootstrap'), [(True, ('10.1.0.1',)), (False, ())])
    def test_only_a_first_start_forms_a_group(
        self, tmp_path: Path, bootstrap: tuple[str, ...], *, first_start: bool
    ) -> None:
        """Guards against hosts that form a second group after their disks were lost."""
        addresses = {'control': ['10.1.0.1:80'], 'port': 7000, 'first_start': first_start}
        settings = load_settings(write(tmp_path, addresses=addresses))
        assert settings.control is not None
        assert settings.control.bootstrap == bootstrap

    def test_faults_name_the_key(self, tmp_path: Path) -> None:
        """Guards against a node that starts with faulty settings, or a fault that names no key."""
        for changes, key in (
            ({'addresses': {'control': [], 'port': 7000}}, 'control'),
            ({'addresses': {'control': ['10.1.0.1:80'], 'port': 0}}, 'port'),
            ({'documents': {'min_interval_s': -1}}, 'documents.min_interval_s'),
            ({'roles': ['gateway']}, 'gateway'),
            ({'adapter': {'listen': 'x:1'}}, 'adapter.module'),
        ):
            with pytest.raises(SettingsError, match=key):
                load_settings(write(tmp_path, **changes))
