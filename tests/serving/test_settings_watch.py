import asyncio
import logging

from crankseam.serving import settings_watch
from crankseam.serving.settings_watch import SettingsWatch
from tests.support.waiting import eventually

GOOD = 'name = "n"\nip = "1.1.1.1"\nzone = "z"\nstore_address = "1.1.1.1:1"\nlog_level = "{}"\n'


async def test_a_silent_change_is_taken_up_and_a_bad_file_changes_nothing(
    tmp_path, monkeypatch, caplog
):
    monkeypatch.setattr(settings_watch, "POLL_INTERVAL_S", 0.01)
    caplog.set_level(logging.INFO)
    file = tmp_path / "settings.toml"
    file.write_text(GOOD.format("info"))
    taken = []
    watching = asyncio.create_task(SettingsWatch(file, taken.append).run())
    try:
        await asyncio.sleep(0.05)
        assert not taken, "nothing has changed"
        file.write_text(GOOD.format("error"))
        await eventually(lambda: taken and taken[-1].log_level == "error")
        file.write_text("name = 3\n")
        await eventually(lambda: "reload_refused" in caplog.messages)
        assert len(taken) == caplog.messages.count("reloaded")
        file.write_text(GOOD.format("warning"))
        await eventually(lambda: taken[-1].log_level == "warning")
    finally:
        watching.cancel()
