"""Submission, lookup and cancellation of jobs at any entry."""

from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec

from ..admission import (
    check_fits_any_group,
    check_waiting_limit,
    check_withdrawal_limit,
    team_of_queue,
)
from ..exceptions import (
    AppendUnknownError,
    CapacityError,
    ConflictError,
    NotFoundError,
    NotHolderError,
    TransportError,
)
from ..holder import GroupSummary, JobAnswer, JobState, describe_job
from ..journal import PlatformClient, ReadRequest, decode_envelope
from ..settings import EntrySettings
from ..telemetry import ComponentLogger
from ..utils import Clock, GroupName, JobId, Offset, TeamName
from ..work import (
    OPERATORS,
    JobAccepted,
    JobCancelled,
    JobSpec,
    JobWithdrawn,
    Submission,
    WorkFold,
    check_submission,
    choose_home_group,
    count_tasks,
    is_job_id,
    make_job_id,
    parse_home_group,
)
from ._actor import CoreHandle
from ._effects import group_stream
from ._peers import HolderDirectory

__all__ = ["JobService", "SubmissionReceipt"]

APPEND_TIMEOUT_S = 6.0
READ_LIMIT = 2_000
MAX_FOLLOWED_MOVES = 10

_log = ComponentLogger("jobs")


class SubmissionReceipt(msgspec.Struct):
    """Answer to a job submission.

    Parameters
    ----------
    id : JobId
        Id of the job, which any entry can look up.
    team : TeamName
        Team that the job is charged to.
    is_repeat : bool
        Whether the same submission was accepted before.
    """

    id: JobId
    team: TeamName
    is_repeat: bool = False


class JobService:
    """Accept, look up and cancel jobs.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    clock : Clock
        Source of time.
    core : CoreHandle
        The core of this entry.
    directory : HolderDirectory
        Access to the holders.
    log : PlatformClient
        The platform's log, read while a group has no reachable holder.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        clock: Clock,
        core: CoreHandle,
        directory: HolderDirectory,
        log: PlatformClient,
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.core = core
        self.directory = directory
        self.log = log
        self._groups = [GroupName(group.name) for group in cfg.groups]

    def submit(
        self, team: TeamName, key: str, submission: Submission
    ) -> SubmissionReceipt:
        """Accept a job; it is durable when this returns.

        Parameters
        ----------
        team : TeamName
            Team of the caller's key.
        key : str
            Idempotency key; a submission that repeats it refers to the same job.
        submission : Submission
            Specification of the job.

        Returns
        -------
        SubmissionReceipt
            Id and team of the job.

        Raises
        ------
        ValidationError, NotFoundError, CapacityError, AdmissionError
            If the job is rejected.
        ConflictError
            If the key was used for a different job.
        LogUnavailableError
            If the job was certainly not stored.
        AppendUnknownError
            If the job may have been stored; the message contains its id.
        """
        check_submission(submission)
        charged_team = self.directory.look_up(
            lambda cell: team_of_queue(cell, team, submission.queue)
        )
        group = choose_home_group(self._groups, team, key)
        job_id = make_job_id(group, team, key)
        existing = self._find_existing(group, job_id)
        if existing is not None:
            return self._repeat_receipt(existing, submission)
        self._check_admission(charged_team, submission)
        record = JobAccepted(
            at=self.clock.wall_ms(),
            job=job_id,
            team=charged_team,
            spec=submission.spec,
            urgent=submission.urgent,
            submitted_at=self.clock.wall_ms(),
        )
        self._append_durably(group, record, job_id)
        return SubmissionReceipt(job_id, charged_team)

    def _find_existing(self, group: GroupName, job_id: JobId) -> JobAnswer | None:
        """Return the job if its holder reports an earlier submission."""
        try:
            return self.directory.find_job(group, job_id)
        except (NotFoundError, NotHolderError, TransportError):
            return None

    @staticmethod
    def _repeat_receipt(
        existing: JobAnswer, submission: Submission
    ) -> SubmissionReceipt:
        if existing.spec != submission.spec or existing.urgent != submission.urgent:
            raise ConflictError(
                f"the idempotency key was used for a different job, {existing.id}"
            )
        return SubmissionReceipt(existing.id, existing.team, is_repeat=True)

    def _check_admission(self, team: TeamName, submission: Submission) -> None:
        summaries = self.core.ask(lambda core: dict(core.summaries_))
        self._check_fits(summaries, submission.spec)
        new_tasks = count_tasks(submission.spec)
        check_waiting_limit(summaries, team, new_tasks, self.cfg.max_waiting_per_team)

    def _check_fits(
        self, summaries: dict[GroupName, GroupSummary], spec: JobSpec
    ) -> None:
        """Reject a job that no group can run according to current summaries."""
        try:
            check_fits_any_group(summaries, self._groups, spec)
        except CapacityError:
            current = self.directory.current_summaries()
            check_fits_any_group(current, self._groups, spec)

    def _append_durably(self, group: GroupName, record, job_id: JobId) -> None:
        fut = self.core.ask(lambda core: core.append_durably(group, record))
        try:
            fut.result(APPEND_TIMEOUT_S)
        except AppendUnknownError as exc:
            raise AppendUnknownError(f"{exc}; the job id is {job_id}") from exc
        except FutureTimeoutError as exc:
            raise AppendUnknownError(
                f"the log has not answered; the job id is {job_id}"
            ) from exc

    def find(self, job_id: JobId, viewer: TeamName | None = None) -> JobAnswer:
        """Return a job, whichever entry holds its group.

        Parameters
        ----------
        job_id : JobId
            The job.
        viewer : TeamName or None, default=None
            Team that may see the job, None for any team.

        Raises
        ------
        NotFoundError
            If there is no such job, or it belongs to another team: callers can't probe
            for the ids of other teams.
        LogUnavailableError
            If neither the holder nor the log can be reached.
        """
        group, answer = self._locate(job_id)
        answer = _check_visible(answer, job_id, viewer)
        if answer.moved_to:
            return msgspec.structs.replace(
                answer, group=group, state=JobState.WAITING, moved_to=GroupName("")
            )
        return answer

    def _locate(self, job_id: JobId) -> tuple[GroupName, JobAnswer | None]:
        """Return the group that has a job or is to accept it, and what is known of it.

        A job that has not reached the group yet is described by the group that it
        leaves.
        """
        group = parse_home_group(job_id)
        answer = None
        for _ in range(MAX_FOLLOWED_MOVES):
            if group not in self._groups:
                return group, None
            try:
                answer = self._find_in_group(group, job_id)
            except NotFoundError:
                return group, answer
            if not answer.moved_to:
                return group, answer
            group = answer.moved_to
        return group, answer

    def _find_in_group(self, group: GroupName, job_id: JobId) -> JobAnswer:
        try:
            return self._query_holder(group, job_id)
        except (NotHolderError, TransportError):
            return self._read_from_log(group, job_id)

    def _query_holder(self, group: GroupName, job_id: JobId) -> JobAnswer:
        """Query the holder; a job is absent only if a read to the end misses it."""
        try:
            return self.directory.find_job(group, job_id)
        except NotFoundError:
            return self.directory.find_job(group, job_id, is_current=True)

    def _read_from_log(self, group: GroupName, job_id: JobId) -> JobAnswer:
        """Replay a group's stream while it has no reachable holder."""
        fold = WorkFold()
        stream = group_stream(group)
        while True:
            start = fold.state_.next_offset
            req = ReadRequest({stream: start}, 0, READ_LIMIT)
            part = self.log.read(req).streams.get(stream)
            if part is None:
                break
            for index, payload in enumerate(part.records):
                fold.apply(Offset(part.start + index), decode_envelope(payload))
        job = fold.state_.jobs.get(job_id)
        if job is None:
            raise NotFoundError(f"there is no job {job_id}")
        return describe_job(job, group, None, set())

    def cancel(self, job_id: JobId, viewer: TeamName | None = None) -> None:
        """Cancel a job; the cancellation is durable when this returns or finds none.

        Parameters
        ----------
        job_id : JobId
            The job. If it is unknown, its submission may still be on its way; it is
            accepted as a cancelled job then.
        viewer : TeamName or None, default=None
            Team of the caller, None for an operator.

        Raises
        ------
        NotFoundError
            If the caller's team has no such job; none of that id and team runs then.
        AdmissionError
            If the team has cancelled too many unknown jobs.
        LogUnavailableError
            If the cancellation was certainly not stored.
        AppendUnknownError
            If the cancellation may have been stored.
        """
        group, answer = self._locate(job_id)
        if answer is None:
            self._withdraw(group, job_id, viewer)
        answer = _check_visible(answer, job_id, viewer)
        record = JobCancelled(self.clock.wall_ms(), job_id)
        if answer.moved_to:
            record = JobWithdrawn(self.clock.wall_ms(), job_id, answer.team)
        self._append_durably(group, record, job_id)

    def _withdraw(
        self, group: GroupName, job_id: JobId, viewer: TeamName | None
    ) -> None:
        """Store a cancellation for an acceptance that may follow."""
        if group not in self._groups or not is_job_id(job_id):
            return
        team = OPERATORS if viewer is None else viewer
        check_withdrawal_limit(self.core.ask(lambda core: dict(core.summaries_)), team)
        record = JobWithdrawn(self.clock.wall_ms(), job_id, team)
        self._append_durably(group, record, job_id)
        _log.info("Unknown job cancelled", job=job_id, group=group, team=team)


def _check_visible(
    answer: JobAnswer | None, job_id: JobId, viewer: TeamName | None
) -> JobAnswer:
    if answer is None or viewer not in (None, answer.team):
        raise NotFoundError(f"there is no job {job_id}")
    return answer
