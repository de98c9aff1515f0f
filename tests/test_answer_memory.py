"""Memory of answers that their callers have not taken yet."""

import asyncio
import random

from crocusward.lingering import LingerEnd
from crocusward.timing import LoopTimer
from crocusward.upstream import AnswerMemoryBudget, PacedReads, ReadPacer

from .entry_support import reply
from .scripted_server import ScriptedServer
from .test_lingering_close import REQUEST, SlowLine
from .test_relay import RelayTestCase

ANSWER_BYTES = 4 << 20  # more than the buffers of the kernel hold
LIMIT_BYTES = 6 << 20


class UntakenAnswersTest(RelayTestCase):
    """Guards against callers that let complete answers pile up in memory."""

    async def ask(self, relay, count):
        """Send requests on connections that read nothing; return these."""
        lines = []
        for _ in range(count):
            line = SlowLine(relay.port)
            self.addCleanup(line.close)
            line.sock.send(REQUEST % b"q1")
            lines.append(line)
            await asyncio.sleep(0.1)
        return lines

    async def test_answers_count_until_their_callers_have_them(self):
        body = b"x" * ANSWER_BYTES
        async with ScriptedServer([reply("q1", body)]) as server:
            async with self.relay(server) as relay:
                memory = relay.relay.answer_memory = AnswerMemoryBudget(LIMIT_BYTES)
                first, second = await self.ask(relay, 2)
                self.assertEqual(memory.aborted_count, 1)
                self.assertEqual(memory.used_bytes, ANSWER_BYTES)
                self.assertEqual(relay.listener.linger_ends[LingerEnd.MEMORY], 1)
                relay.listener.drain()
                relay.listener.close_idle()
                await second.read_all(pause_s=0.0)
                self.assertEqual(second.count_whole(ANSWER_BYTES), 1)
                await asyncio.sleep(0.1)
                self.assertEqual(memory.used_bytes, 0)


class ReadPacerTest(RelayTestCase):
    """Guards against small pieces that take more than their share of the loop."""

    async def test_all_readers_together_get_the_rate(self):
        pacer = ReadPacer(LoopTimer(asyncio.get_running_loop(), random.Random(1)))
        pauses = [pacer.charge(4_000) for _ in range(10)]
        self.assertLess(pauses[0], 0.11)
        self.assertGreater(pauses[-1], 0.9)

    async def test_small_pieces_get_small_reads(self):
        pacer = ReadPacer(LoopTimer(asyncio.get_running_loop(), random.Random(1)))
        buffer = memoryview(bytearray(65_536))
        reads = PacedReads(pacer, lambda: None)
        first = len(reads.limit_read(buffer))
        reads.add_piece()
        reads.end_read(first, None)
        self.assertEqual(len(reads.limit_read(buffer)), len(buffer))
        for _ in range(2000):
            reads.add_piece()
        reads.end_read(12_000, None)
        self.assertLess(len(reads.limit_read(buffer)), first)
