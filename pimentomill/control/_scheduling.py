"""Settings that switch optional features of scheduling on and off."""

from enum import Enum
from pathlib import Path

import msgspec

from ..exceptions import SettingsError

__all__ = ["Features", "SchedulingSettings", "Switch", "load_scheduling_settings"]


class Switch(Enum):
    """Whether a feature is used."""

    ON = "on"
    OFF = "off"
    AUTO = "auto"


class Features(msgspec.Struct, frozen=True):
    """Features that the leader and the entries use.

    Parameters
    ----------
    worker_speeds : bool, default=False
        Whether the speed of workers is learned for placement and for the detection
        of stragglers.
    admission : bool, default=False
        Whether submissions are refused while their pool is full.
    headroom : bool, default=False
        Whether free capacity is kept for urgent work.
    policy_reuse : bool, default=False
        Whether answers of placement policies are kept and reused.
    past_use_half_life_s : float, default=0.0
        Half-life in seconds of a team's past use in the order of waiting work; 0 if
        past use does not count.
    share_burst_s : float, default=2.0
        Seconds of its share that a team may submit at once.
    share_burst_jobs : float, default=0.0
        Jobs that it may submit at once in addition.
    """

    worker_speeds: bool = False
    admission: bool = False
    headroom: bool = False
    policy_reuse: bool = False
    past_use_half_life_s: float = 0.0
    share_burst_s: float = 2.0
    share_burst_jobs: float = 0.0


class SchedulingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Switches as set by operators; see `Features`.

    Parameters
    ----------
    worker_speeds, admission, headroom, policy_reuse : Switch, default=Switch.OFF
        `Switch.AUTO` uses the feature where restarts are costly.
    past_use_half_life_s : float, default=0.0
        Half-life in seconds, at least 0.
    """

    worker_speeds: Switch = Switch.OFF
    admission: Switch = Switch.OFF
    headroom: Switch = Switch.OFF
    policy_reuse: Switch = Switch.OFF
    past_use_half_life_s: float = 0.0

    def resolve(self, restore_ms: int, checkpoint_interval_ms: float) -> Features:
        """Return the features to use on a deployment.

        Where a restore from a checkpoint takes longer than the work between two
        checkpoints, each stop loses more than it saves: overload and slow workers
        have to be dealt with before work starts.

        Parameters
        ----------
        restore_ms : int
            Milliseconds for which a run that resumes from a checkpoint does no work.
        checkpoint_interval_ms : float
            Milliseconds of work between two checkpoints.

        Examples
        --------
        >>> SchedulingSettings(admission=Switch.AUTO).resolve(600, 500).admission
        True
        >>> SchedulingSettings(admission=Switch.AUTO).resolve(100, 500).admission
        False
        """
        is_restart_costly = restore_ms > checkpoint_interval_ms

        def is_used(switch: Switch) -> bool:
            return switch is Switch.ON or (switch is Switch.AUTO and is_restart_costly)

        return Features(
            is_used(self.worker_speeds),
            is_used(self.admission),
            is_used(self.headroom),
            is_used(self.policy_reuse),
            self.past_use_half_life_s,
        )


def load_scheduling_settings(path: str | Path | None) -> SchedulingSettings:
    """Read the settings file; without one, all features are off.

    Raises
    ------
    SettingsError
        If the file can't be read, or a field is unknown or has a wrong value; the
        message contains the path of the field.
    """
    if path is None:
        return SchedulingSettings()
    try:
        raw = Path(path).read_bytes()
        settings = msgspec.json.decode(raw, type=SchedulingSettings)
    except OSError as exc:
        raise SettingsError(f"{path}: can't be read: {exc.strerror}") from exc
    except msgspec.DecodeError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    if settings.past_use_half_life_s < 0:
        raise SettingsError(f"{path}: past_use_half_life_s: must be at least 0")
    return settings
