"""Guards against a version that is forgotten while its streams can be taken up."""

from damaskridge.core.gateway.version_history import VersionHistory
from damaskridge.model.gateway import BackendInstance, EngineStage

RETENTION_S = 60.0


def engine(version, name="i1", stage=EngineStage.DECODE):
    return BackendInstance(
        instance=name,
        service="llm",
        address=name,
        data_centre="d",
        slots=1,
        stage=stage,
        software_version=version,
    )


def test_a_version_counts_for_the_retention_after_its_last_listing():
    history = VersionHistory()
    both = (engine("v1"), engine("v2", "i2"))
    history.observe(both, 0.0, RETENTION_S)
    history.observe(both[1:], 60.0, RETENTION_S)
    assert history.versions({}) == {"llm": ("v1", "v2")}
    history.observe(both[1:], 60.1, RETENTION_S)
    assert history.versions({"llm": ("v1", "v2")}) == {"llm": ("v2",)}


def test_a_new_leader_keeps_recorded_versions_for_the_whole_retention():
    history = VersionHistory()
    recorded = {"llm": ("v1", "v2"), "gone": ("v7",)}
    assert history.versions(recorded) == recorded
    history.observe((engine("v2"),), 1000.0, RETENTION_S)
    assert history.versions(recorded) == recorded
    history.observe((engine("v2"),), 1060.1, RETENTION_S)
    assert history.versions(recorded) == {"llm": ("v2",)}


def test_a_version_that_comes_back_counts_again():
    history = VersionHistory()
    history.observe((engine("v1"),), 0.0, RETENTION_S)
    history.observe((engine("v2"),), 100.0, RETENTION_S)
    assert history.versions({"llm": ("v1",)}) == {"llm": ("v2",)}
    history.observe((engine("v1"),), 110.0, RETENTION_S)
    assert history.versions({"llm": ("v2",)}) == {"llm": ("v2", "v1")}


def test_plain_services_have_no_versions():
    history = VersionHistory()
    history.observe((engine("v1", stage=None),), 0.0, RETENTION_S)
    assert history.versions({}) == {}
