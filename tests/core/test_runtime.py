import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from basilcove.core.events import Effect, Emit, Event, HandlerFailed
from basilcove.core.reducer import Context, Node, handles
from basilcove.core.runtime import Runtime, carries_out
from basilcove.helpers.metrics import Metrics


@dataclass(frozen=True, slots=True)
class Ping(Event):
    is_bad: bool = False


@dataclass(frozen=True, slots=True)
class Write(Effect):
    text: str


@dataclass
class FragileState:
    failures: list[HandlerFailed] = field(default_factory=list)


@dataclass
class SoundState:
    pings: int = 0


@dataclass
class Driver:
    written: list[str] = field(default_factory=list)


@handles(Ping, FragileState)
def _fragile(state: FragileState, event: Ping, ctx: Context) -> Iterator[Effect]:
    yield Write('before')
    if event.is_bad:
        raise OverflowError('injected')
    yield Write('unencodable')
    yield Write('after')


@handles(HandlerFailed, FragileState)
def _on_failed(state: FragileState, event: HandlerFailed, ctx: Context) -> list[Effect]:
    state.failures.append(event)
    raise ValueError('fails again')


@handles(Ping, SoundState)
def _sound(state: SoundState, event: Ping, ctx: Context) -> list[Effect]:
    state.pings += 1
    return [Emit(HandlerFailed(int, 'of another state'))] if state.pings > 100 else [Write('sound')]


@carries_out(Write, Driver)
def _write(driver: Driver, effect: Write) -> None:
    if effect.text == 'unencodable':
        raise UnicodeEncodeError('utf-8', '\ud800', 0, 1, 'surrogates not allowed')
    driver.written.append(effect.text)


def build() -> tuple[Runtime, FragileState, SoundState, Driver]:
    fragile, sound, driver = FragileState(), SoundState(), Driver()
    runtime = Runtime(Node(fragile, sound))
    runtime.add_driver(driver)
    runtime.add_driver(Metrics())
    return runtime, fragile, sound, driver


class TestFailures:
    def test_failed_effect_does_not_drop_the_others(self) -> None:
        """Guards against a message that can't be encoded and takes all that follow with it."""
        runtime, _, _, driver = build()
        assert not runtime.apply(Ping())
        assert driver.written == ['before', 'after', 'sound']

    def test_failed_handler_leaves_other_states_alone(self) -> None:
        """Guards against one odd entry that stops a process from following anything."""
        runtime, fragile, sound, driver = build()
        assert not runtime.apply(Ping(is_bad=True))
        assert sound.pings == 1
        assert driver.written == ['before', 'sound']
        assert [each.state_type for each in fragile.failures] == [FragileState]

    def test_ticks_go_on(self) -> None:
        """Guards against a process that runs but does nothing after one error in a tick."""

        async def check() -> None:
            runtime, _, _, _ = build()
            ticks = 0

            def fail(event: Event) -> bool:
                nonlocal ticks
                ticks += 1
                raise RuntimeError('injected')

            runtime.apply = fail  # type: ignore[method-assign]
            await runtime.start()
            async with asyncio.timeout(5):
                while ticks < 3:
                    await asyncio.sleep(0.01)
            await runtime.stop()

        asyncio.run(check())
