"""Tests the client for the list of backend servers.

Guards against malformed entries and failed reads that remove usable instances or add
unusable ones.
"""

import asyncio

import msgspec

from damaskridge.model.gateway import EngineStage
from damaskridge.platform.instance_list import PlatformInstanceListReader


def entry(number, **changes):
    return {
        "Id": f"i{number}",
        "Service": "s",
        "Address": f"10.0.0.{number}:80",
        "Zone": "z",
        "Version": "v1",
        "Slots": 4,
        "State": "ready",
        "ColdLeftMs": 0,
        **changes,
    }


def read_list(*pages, status=200):
    async def main():
        targets = []

        async def handle(reader, writer):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            targets.append(head.split(" ")[1])
            body = pages[min(len(targets), len(pages)) - 1]
            writer.write(
                b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s"
                % (status, len(body), body)
            )
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        listed = await PlatformInstanceListReader(f"127.0.0.1:{port}").read()
        server.close()
        return listed, targets

    return asyncio.run(main())


def page(*entries, next_page=None):
    return msgspec.json.encode({"Instances": entries, "Next": next_page})


def test_all_pages_are_read():
    listed, targets = read_list(page(entry(1), next_page="p 2"), page(entry(2)))
    assert [item.instance for item in listed.unwrap().instances] == ["i1", "i2"]
    assert targets == ["/instances", "/instances?PageToken=p%202"]


def test_entries_are_decoded():
    listed, _ = read_list(page(entry(1, State="draining"), entry(2, Phase="prefill")))
    first, second = listed.unwrap().instances
    assert (first.is_leaving, first.stage) == (True, None)
    assert (first.address, first.data_centre, first.slots) == ("10.0.0.1:80", "z", 4)
    assert (second.is_leaving, second.stage) == (False, EngineStage.PREFILL)
    assert first.software_version == "v1"


def test_malformed_entries_are_skipped_individually():
    malformed = [
        {},
        {"Id": 3},
        7,
        None,
        "text",
        entry(1, Slots="4"),
        entry(1, State="gone"),
        entry(1, Address="nowhere"),
        entry(1, Phase="other"),
        entry(1, Id=""),
        entry(1, Version=3),
    ]
    listed, _ = read_list(page(*malformed, entry(9)))
    assert [item.instance for item in listed.unwrap().instances] == ["i9"]


def test_failed_read_is_an_error_and_not_an_empty_list():
    assert read_list(b"{")[0].is_err()
    assert read_list(page(), status=429)[0].is_err()
    assert read_list(b'{"Instances":[')[0].is_err()


def test_start_time_distinguishes_restarts_under_one_name():
    first, _ = read_list(page(entry(1, born=1_700_000_000_000), entry(2)))
    assert [item.started_ms for item in first.unwrap().instances] == [
        1_700_000_000_000,
        0,
    ]
