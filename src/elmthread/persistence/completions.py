"""The ends of tasks and jobs on their way to the store."""

from collections.abc import Callable
from typing import Any

from elmthread.cluster.job import Job, JobState
from elmthread.leadership.context import TermContext
from elmthread.persistence.records import done_record, job_record
from elmthread.store.records import done_key, job_key
from elmthread.store.write_queue import WritePriority


def record_maker(job: Job) -> Callable[[], Any]:
    """Return what makes the job's record when it is written, and notes which state went into it."""

    def make() -> Any:
        job.state_being_written = job.state
        return job_record(job)

    return make


class CompletionRecorder:
    """Records done tasks, before the worker may forget them and before users hear of them."""

    def __init__(self, context: TermContext) -> None:
        """`context` is that of the term in which the tasks ended."""
        self._cluster = context.cluster
        self._writer = context.writer
        self._features = context.features

    def record(self, job: Job, task: int, durable: Callable[[], None]) -> None:
        """Record that a task is done; `durable` is called once that is in the store."""
        if job.done_count == job.task_count:
            self._cluster.close_job(job, JobState.DONE)

            def stored() -> None:
                job.durable_state = job.state_being_written
                durable()
                for chunk in range((job.task_count + job.tasks_per_chunk - 1) // job.tasks_per_chunk):
                    self._writer.delete(done_key(job.id, chunk))

            self._writer.write(job_key(job.id), WritePriority.COMPLETION, record_maker(job), stored)
            return
        chunk = task // job.tasks_per_chunk
        self._writer.write(
            done_key(job.id, chunk),
            WritePriority.COMPLETION,
            lambda: done_record(job, chunk, self._features),
            durable,
        )
