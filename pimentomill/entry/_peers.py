"""Location of the holders of groups, and requests to them."""

from collections.abc import Callable
from typing import TypeVar

from ..cell import CellState
from ..exceptions import (
    NotFoundError,
    NotHolderError,
    PimentomillError,
    UnknownKeyError,
)
from ..holder import GroupSummary, JobAnswer, WorkerAnswer
from ..peers import (
    GetJobRequest,
    JobList,
    ListJobsRequest,
    ListSummariesRequest,
    ListWorkersRequest,
    PeerClient,
    PeerMessage,
    PeerReply,
    SummaryList,
    WorkerList,
)
from ..utils import GroupName, JobId, MemberId
from ._actor import CoreHandle
from ._catch_up import CatchUp

__all__ = ["HolderDirectory"]

T = TypeVar("T")
PEER_TIMEOUT_MS = 2_000


class HolderDirectory:
    """Query the holder of a group, be it this entry or another.

    Parameters
    ----------
    member : MemberId
        Incarnation of this entry.
    core : CoreHandle
        The core of this entry.
    client : PeerClient
        Client for other entries.
    cell_catch_up : CatchUp
        Reads the cell's stream to its end.
    group_catch_ups : dict
        By group, reads the group's stream to its end while it is held here.
    """

    def __init__(
        self,
        member: MemberId,
        core: CoreHandle,
        client: PeerClient,
        cell_catch_up: CatchUp,
        group_catch_ups: dict[GroupName, CatchUp],
    ) -> None:
        self.member = member
        self.core = core
        self.client = client
        self.cell_catch_up = cell_catch_up
        self.group_catch_ups = group_catch_ups

    def cell(self) -> CellState:
        """Return the cell state; the caller must not change it."""
        return self.core.ask(lambda core: core.cell())

    def current_cell(self) -> CellState:
        """Return the cell state after its stream has been read to the end.

        Raises
        ------
        LogUnavailableError
            If the log can't be read.
        """
        self.cell_catch_up.run()
        return self.cell()

    def look_up(self, find: Callable[[CellState], T]) -> T:
        """Find an object in the cell state.

        Parameters
        ----------
        find : callable
            Takes the cell state; raises `NotFoundError` or `UnknownKeyError` if
            the object is missing from it.

        Returns
        -------
        object
            The result of `find`. A missing object is looked up again in the
            current state before it counts as absent.

        Raises
        ------
        LogUnavailableError
            If the object is missing and the log can't be read.
        """
        try:
            return find(self.cell())
        except (NotFoundError, UnknownKeyError):
            return find(self.current_cell())

    def address_of(self, group: GroupName) -> str:
        """Return the peer address of a group's holder; empty if it is this entry.

        Raises
        ------
        NotHolderError
            If the group has no holder.
        """
        cell = self.cell()
        holder = cell.ownership(group).holder
        if holder is None or holder not in cell.members:
            raise NotHolderError(f"group {group} has no holder at present")
        return "" if holder == self.member else cell.members[holder].peer_address

    def find_job(
        self, group: GroupName, job_id: JobId, is_current: bool = False
    ) -> JobAnswer:
        """Return a job of a group.

        Parameters
        ----------
        group : GroupName
            The group.
        job_id : JobId
            The job.
        is_current : bool, default=False
            Whether the holder reads its stream to the end before it answers.

        Raises
        ------
        NotFoundError
            If the group does not have the job.
        NotHolderError, TransportError
            If the holder can't be reached.
        """
        address = self.address_of(group)
        if not address:
            return self.find_own_job(group, job_id, is_current)
        message = GetJobRequest(group, job_id, is_current)
        return self.client.ask(address, message, PEER_TIMEOUT_MS).jobs[0]

    def find_own_job(
        self, group: GroupName, job_id: JobId, is_current: bool
    ) -> JobAnswer:
        """Return a job of a group that this entry holds; see `find_job`."""
        if is_current:
            self.group_catch_ups[group].run()
        return self.core.ask(lambda core: core.holder_of(group).describe(job_id))

    def list_jobs(self) -> tuple[list[JobAnswer], list[str]]:
        """Return the jobs of all groups, and the entries that did not answer."""
        own = JobList(self.core.ask(own_jobs))
        replies, unresponsive = self._query_all(ListJobsRequest(), own)
        return [job for reply in replies for job in reply.jobs], unresponsive

    def list_workers(self) -> tuple[list[WorkerAnswer], list[str]]:
        """Return all workers, and the entries that did not answer."""
        own = WorkerList(self.core.ask(own_workers))
        replies, unresponsive = self._query_all(ListWorkersRequest(), own)
        return [worker for reply in replies for worker in reply.workers], unresponsive

    def peer_summaries(self) -> list[GroupSummary]:
        """Return summaries of the groups that other entries hold."""
        replies, _ = self._query_all(ListSummariesRequest(), SummaryList([]))
        return [summary for reply in replies for summary in reply.summaries]

    def current_summaries(self) -> dict[GroupName, GroupSummary]:
        """Query all holders for current summaries.

        Returns
        -------
        dict
            Summaries by group. After the first holder that does not answer, no
            further holders are queried; the groups of all these are missing.
        """
        cell = self.cell()
        summaries = self.core.ask(own_summaries)
        for member in list(cell.members.values()):
            if member.id == self.member or not cell.groups_of(member.id):
                continue
            try:
                reply = self.client.ask(
                    member.peer_address, ListSummariesRequest(), PEER_TIMEOUT_MS
                )
            except PimentomillError:
                break
            summaries.extend(reply.summaries)
        return {
            summary.group: summary
            for summary in summaries
            if cell.ownership(summary.group).holder == summary.holder
        }

    def _query_all(
        self, message: PeerMessage, own: PeerReply
    ) -> tuple[list[PeerReply], list[str]]:
        replies = [own]
        unresponsive = []
        members = list(self.cell().members.values())
        self.client.close_all_except({member.peer_address for member in members})
        for member in members:
            if member.id == self.member:
                continue
            try:
                reply = self.client.ask(member.peer_address, message, PEER_TIMEOUT_MS)
            except PimentomillError:
                unresponsive.append(member.name)
                continue
            replies.append(reply)
        return replies, unresponsive


def own_jobs(core) -> list[JobAnswer]:
    """Return the jobs of all groups that a core holds."""
    return [job for holder in core.holders_.values() for job in holder.jobs()]


def own_workers(core) -> list[WorkerAnswer]:
    """Return the workers of all groups that a core holds."""
    return [w for holder in core.holders_.values() for w in holder.workers()]


def own_summaries(core) -> list[GroupSummary]:
    """Return summaries of all groups that a core holds and is active for."""
    return [h.summary() for h in core.holders_.values() if h.is_acting]
