"""Tests of reads that several callers share."""

import asyncio

from cardamom_gateway.store import shared_reads


class TestSharedRead:
    """Which read a caller gets."""

    def test_caller_gets_a_read_that_began_after_its_call(self) -> None:
        """A read that was on its way could miss what a caller asks for."""

        async def run() -> None:
            begun: list[asyncio.Future[int]] = []

            async def read() -> int:
                begun.append(asyncio.get_running_loop().create_future())
                return await begun[-1]

            shared = shared_reads.SharedRead(read)
            first = asyncio.create_task(shared.get())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(begun) == 1
            later = [asyncio.create_task(shared.get()) for _ in range(9)]
            await asyncio.sleep(0)
            begun[0].set_result(1)
            assert await first == 1
            while len(begun) < 2:
                await asyncio.sleep(0)
            begun[1].set_result(2)
            assert await asyncio.gather(*later) == [2] * 9
            assert len(begun) == 2

        asyncio.run(run())

    def test_failed_read_does_not_fail_the_next_one(self) -> None:
        """One lost answer would end all later lookups."""

        async def run() -> None:
            results = [OSError("lost"), 7]

            async def read() -> int:
                result = results.pop(0)
                if isinstance(result, OSError):
                    raise result
                return result

            shared = shared_reads.SharedRead(read)
            outcomes = await asyncio.gather(
                shared.get(), return_exceptions=True
            )
            assert isinstance(outcomes[0], OSError)
            assert await shared.get() == 7

        asyncio.run(run())
