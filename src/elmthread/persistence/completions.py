"""Makes completed tasks and the ends of jobs durable."""

from collections.abc import Callable
from functools import partial
from typing import Any

from elmthread.cluster.job import Job, JobState
from elmthread.leadership.context import TermContext
from elmthread.persistence.records import done_record, job_record
from elmthread.store.records import done_key, job_key
from elmthread.store.write_queue import WritePriority


def job_record_for_write(job: Job) -> Any:
    """Return the job's record for a write that starts now, and remember which state is being written."""
    job.state_being_written = job.state
    return job_record(job)


class CompletionRecorder:
    """Records done tasks; workers may remove them, and users see the job as done, only once that is durable."""

    def __init__(self, context: TermContext) -> None:
        """Record the completions of the term of `context`."""
        self._cluster = context.cluster
        self._writer = context.writer
        self._features = context.features

    def record(self, job: Job, task: int, on_durable: Callable[[], None]) -> None:
        """Record that a task is done; `on_durable` is called once the record is in the store."""
        if job.done_count == job.task_count:
            self._record_end(job, on_durable)
            return
        chunk = task // job.tasks_per_chunk
        self._writer.write(
            done_key(job.id, chunk),
            WritePriority.COMPLETION,
            partial(done_record, job, chunk, self._features),
            on_durable,
        )

    def _record_end(self, job: Job, on_durable: Callable[[], None]) -> None:
        """Record that the job is done, which includes all its tasks."""
        self._cluster.close_job(job, JobState.DONE)
        self._writer.write(
            job_key(job.id),
            WritePriority.COMPLETION,
            partial(job_record_for_write, job),
            partial(self._mark_durable, job, on_durable),
        )

    def _mark_durable(self, job: Job, on_durable: Callable[[], None]) -> None:
        """Mark the job's end as durable, and delete the records of its done tasks, which it supersedes."""
        job.durable_state = job.state_being_written
        on_durable()
        for chunk in range((job.task_count + job.tasks_per_chunk - 1) // job.tasks_per_chunk):
            self._writer.delete(done_key(job.id, chunk))
