"""Hand-in, lookup and cancellation of jobs at any entry."""

from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec

from ..admission import check_fits_any_group, check_waiting_limit, team_of_queue
from ..exceptions import (
    AppendUnknownError,
    CapacityError,
    ConflictError,
    NotFoundError,
    NotHolderError,
    TransportError,
)
from ..holder import GroupSummary, JobAnswer, describe_job
from ..journal import PlatformClient, ReadRequest, decode_envelope
from ..settings import EntrySettings
from ..utils import Clock, GroupName, JobId, Offset, TeamName
from ..work import (
    JobAccepted,
    JobCancelled,
    JobSpec,
    Submission,
    WorkFold,
    check_submission,
    choose_home_group,
    count_tasks,
    make_job_id,
    parse_home_group,
)
from ._actor import CoreHandle
from ._effects import group_stream
from ._peers import HolderDirectory

__all__ = ["JobService", "JobTicket"]

KEEP_TIMEOUT_S = 6.0
READ_LIMIT = 2_000
MAX_HOPS = 10


class JobTicket(msgspec.Struct):
    """Answer to a hand-in.

    Parameters
    ----------
    id : JobId
        Name of the job; ask for it at any entry.
    team : TeamName
        Whom it counts for.
    is_repeat : bool
        Whether the same hand-in had been taken before.
    """

    id: JobId
    team: TeamName
    is_repeat: bool = False


class JobService:
    """Take in jobs and answer for them.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    clock : Clock
        Source of time.
    core : CoreHandle
        The core of this entry.
    directory : HolderDirectory
        Way to the holders.
    log : PlatformClient
        The platform's log, read when a group has no holder.
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

    def hand_in(self, team: TeamName, key: str, submission: Submission) -> JobTicket:
        """Take in a job; it is kept in the log when this returns.

        Parameters
        ----------
        team : TeamName
            Team of the caller's key.
        key : str
            Idempotency key; a repeat of it is the same job.
        submission : Submission
            The work.

        Returns
        -------
        JobTicket
            The job's id.

        Raises
        ------
        ValidationError, NotFoundError, CapacityError, AdmissionError
            If the job is refused.
        ConflictError
            If the key was used for other work.
        LogUnavailableError
            If the job was surely not kept.
        AppendUnknownError
            If it may have been kept; the message names its id.
        """
        check_submission(submission)
        charged = self.directory.look_up(
            lambda cell: team_of_queue(cell, team, submission.queue)
        )
        group = choose_home_group(self._groups, team, key)
        job_id = make_job_id(group, team, key)
        known = self._known(group, job_id)
        if known is not None:
            return self._repeat(known, submission)
        self._check_admission(charged, submission)
        record = JobAccepted(
            at=self.clock.wall_ms(),
            job=job_id,
            team=charged,
            spec=submission.spec,
            urgent=submission.urgent,
            submitted_at=self.clock.wall_ms(),
        )
        self._keep(group, record, job_id)
        return JobTicket(job_id, charged)

    def _known(self, group: GroupName, job_id: JobId) -> JobAnswer | None:
        """Return the job if its holder can tell that it was handed in before."""
        try:
            return self.directory.job(group, job_id)
        except (NotFoundError, NotHolderError, TransportError):
            return None

    @staticmethod
    def _repeat(known: JobAnswer, submission: Submission) -> JobTicket:
        if known.spec != submission.spec or known.urgent != submission.urgent:
            raise ConflictError(
                f"the idempotency key was used for other work, job {known.id}"
            )
        return JobTicket(known.id, known.team, is_repeat=True)

    def _check_admission(self, team: TeamName, submission: Submission) -> None:
        summaries = self.core.ask(lambda core: dict(core.summaries_))
        self._check_fits(summaries, submission.spec)
        more = count_tasks(submission.spec)
        check_waiting_limit(summaries, team, more, self.cfg.max_waiting_per_team)

    def _check_fits(
        self, summaries: dict[GroupName, GroupSummary], spec: JobSpec
    ) -> None:
        """Refuse what no group could run, by the word of all holders as of now."""
        try:
            check_fits_any_group(summaries, self._groups, spec)
        except CapacityError:
            current = self.directory.current_summaries()
            check_fits_any_group(current, self._groups, spec)

    def _keep(self, group: GroupName, record, job_id: JobId) -> None:
        fut = self.core.ask(lambda core: core.keep(group, record))
        try:
            fut.result(KEEP_TIMEOUT_S)
        except AppendUnknownError as exc:
            raise AppendUnknownError(f"{exc}; the id is {job_id}") from exc
        except FutureTimeoutError as exc:
            raise AppendUnknownError(
                f"the log has not answered; the id is {job_id}"
            ) from exc

    def find(self, job_id: JobId) -> JobAnswer:
        """Return a job, whichever entry holds it.

        Raises
        ------
        NotFoundError
            If there is no such job.
        LogUnavailableError
            If neither its holder nor the log can be asked.
        """
        group = parse_home_group(job_id)
        for _ in range(MAX_HOPS):
            if group not in self._groups:
                raise NotFoundError(f"there is no job {job_id}")
            answer = self._find_in(group, job_id)
            if not answer.moved_to:
                return answer
            group = answer.moved_to
        return answer

    def _find_in(self, group: GroupName, job_id: JobId) -> JobAnswer:
        try:
            return self._ask_holder(group, job_id)
        except (NotHolderError, TransportError):
            return self._read_from_log(group, job_id)

    def _ask_holder(self, group: GroupName, job_id: JobId) -> JobAnswer:
        """Ask the holder; what it misses is absent only by its whole stream."""
        try:
            return self.directory.job(group, job_id)
        except NotFoundError:
            return self.directory.job(group, job_id, is_current=True)

    def _read_from_log(self, group: GroupName, job_id: JobId) -> JobAnswer:
        """Replay a group's stream, for the time that it has no holder."""
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

    def cancel(self, job_id: JobId) -> None:
        """Cancel a job; it is kept in the log when this returns.

        Raises
        ------
        NotFoundError
            If there is no such job.
        """
        answer = self.find(job_id)
        record = JobCancelled(self.clock.wall_ms(), job_id)
        self._keep(answer.group, record, job_id)
