"""What goes over a connection for calls: numbered requests and replies."""

from __future__ import annotations

import msgspec

from stileloom.jobs.messages import JobReply, JobRequest
from stileloom.transport.cache_messages import CacheReply, ReadObjectsCall

Request = JobRequest | ReadObjectsCall
Reply = JobReply | CacheReply


class CallFrame(msgspec.Struct, frozen=True, array_like=True):
    """A call with the number that its answer will carry."""

    number: int
    request: Request


class ReplyFrame(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a call."""

    number: int
    reply: Reply
