from pathlib import Path

from tests.harness import documents
from tests.harness.certificates import Certificates
from tests.harness.cluster import DEMO_UPSTREAMS, Cluster
from tests.system.calls import book, chat, expected_tokens, tokens_of


class TestTls:
    def test_whole_path_with_mutual_tls(self, tmp_path: Path) -> None:
        """Guards against a path that works only without TLS, and operators without their certificate."""
        certificates = Certificates(tmp_path)
        with Cluster(tmp_path, entries=1, certificates=certificates) as cluster:
            cluster.start_all(documents.write(tmp_path, documents.document(DEMO_UPSTREAMS)))
            answer = chat(cluster, 'entry-1')
            assert tokens_of(answer.data.decode()) == expected_tokens(8)
            assert book(cluster, 'entry-1', key='k1').status == 201
            refused = cluster.cli('status', check=False, name='rider:anna')
            assert refused['exit'] == 2
            assert 'rider:anna is no operator' in str(refused['content'])
