"""Messages of the call protocol: requests and replies with a correlation number."""

from __future__ import annotations

import msgspec

from stileloom.jobs.messages import JobReply, JobRequest
from stileloom.load.messages import LoadShared, ShareLoadCall
from stileloom.transport.cache_messages import CacheReply, ReadObjectsCall

Request = JobRequest | ReadObjectsCall | ShareLoadCall
Reply = JobReply | CacheReply | LoadShared


class CallFrame(msgspec.Struct, frozen=True, array_like=True):
    """A request; its reply has the same number."""

    number: int
    request: Request


class ReplyFrame(msgspec.Struct, frozen=True, array_like=True):
    """The reply to the call with this number."""

    number: int
    reply: Reply
