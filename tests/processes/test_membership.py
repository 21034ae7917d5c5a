"""Membership, drain marks and the control budget with real agents."""

import asyncio
import re
import time

import grpc
import grpc.aio
import pytest

from tanagerspoke.protocol import agent
from tanagerspoke.protocol import peer
from tanagerspoke.settings import options
from tanagerspoke.transport import grpc_agent
from tests import stack as stacks

_HOSTS = tuple(f"entry-{n}" for n in range(1, 4))


async def _metric(
    stack: stacks.Stack, host: str, name: str, kind: str = ""
) -> float:
    _, body = await stack.get(stack.admin_ports[f"agent-{host}"], "/metrics")
    pattern = rf"^{name}(?:{{.*{kind}.*}})? (\S+)$"
    values = re.findall(pattern, body.decode(), re.M)
    return sum(float(value) for value in values)


async def _start(stack: stacks.Stack) -> None:
    for host in _HOSTS:
        await stack.add_agent(host)
        await stack.register_entry(host)
    for host in _HOSTS:
        await _wait_peers(stack, host, len(_HOSTS) - 1)


async def _wait_peers(stack: stacks.Stack, host: str, count: int) -> None:
    async def known() -> bool:
        return await _metric(stack, host, "tanagerspoke_peers") == count

    await stacks.wait_until(known, f"{host} to know {count} peers")


async def _subscribe(
    stack: stacks.Stack, host: str, marked: asyncio.Queue[str]
) -> None:
    client = grpc_agent.AgentClient(
        endpoint=options.Endpoint(
            address="127.0.0.1", port=stack.agent_ports[host]
        ),
        shared_key=stacks.SHARED_KEY,
    )
    await client.start()
    request = agent.SubscribeRequest(gateway_id=f"{host}-test")
    async for update in client.subscribe(request):
        if isinstance(update, agent.DrainUpdate) and update.upstream_ids:
            marked.put_nowait(host)


async def test_drain_mark_of_the_operator_reaches_all_gateways(
    stack: stacks.Stack,
) -> None:
    """Guards against gateways that go on using a draining upstream."""
    await _start(stack)
    marked: asyncio.Queue[str] = asyncio.Queue()
    tasks = [
        asyncio.create_task(_subscribe(stack, host, marked)) for host in _HOSTS
    ]
    code, output = await stack.ctl("drain", "booking-1")
    assert code == 0, output
    hosts = set()
    while hosts != set(_HOSTS):
        hosts.add(await asyncio.wait_for(marked.get(), stacks.WAIT_S))
    for task in tasks:
        task.cancel()


async def test_lost_and_unlisted_hosts(stack: stacks.Stack) -> None:
    """Guards against an agent that believes a stale host list."""
    await _start(stack)
    stack["agent-entry-3"].kill()
    await stack.add_agent("entry-unlisted")
    for host in ("entry-1", "entry-2", "entry-unlisted"):
        await _wait_peers(stack, host, 2)


async def test_bad_peer_messages_are_refused_and_counted(
    stack: stacks.Stack,
) -> None:
    """Guards against trust in messages without key or form."""
    await stack.add_agent("entry-1")
    target = f"127.0.0.1:{stack.peer_ports['entry-1']}"
    key = (("tanagerspoke-key", stacks.SHARED_KEY),)
    async with grpc.aio.insecure_channel(target) as channel:
        method = channel.unary_unary(f"/{peer.SERVICE}/Exchange")
        for metadata, expected in (
            ((), grpc.StatusCode.UNAUTHENTICATED),
            (key, grpc.StatusCode.INVALID_ARGUMENT),
        ):
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                await method(b"\x01junk", metadata=metadata, timeout=10.0)
            assert caught.value.code() is expected
    name = "tanagerspoke_peer_messages_refused_total"
    assert await _metric(stack, "entry-1", name) == 2


async def test_bytes_stay_within_the_budget(stack: stacks.Stack) -> None:
    """Guards against control traffic above 4,096 bytes a second."""
    started = time.monotonic()
    for number in range(4):
        await stack.add_upstream(f"booking-{number}", "booking")
    await _start(stack)
    name = "tanagerspoke_control_bytes_total"
    for host in _HOSTS:

        async def probed(host: str = host) -> bool:
            return await _metric(stack, host, name, kind="probe") > 0

        await stacks.wait_until(probed, f"{host} to probe")
        spent = await _metric(stack, host, name)
        assert spent <= 4096 * (time.monotonic() - started)
