"""Emulated trainer: submits prompts, consumes batches, publishes versions and verifies samples."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from stileloom.client import TrainerClient
from stileloom.clock import steady_time
from stileloom.emulator.sample_audit import AuditReport, SampleAudit
from stileloom.emulator.settings import EmulatorSettings, TrainerSettings
from stileloom.emulator.workload import LengthDistribution, generate_prompt
from stileloom.http.rounds import PromptBody

INITIAL_VERSION = 1


class TrainerReport(msgspec.Struct):
    """Results of a round as measured by the trainer."""

    expected: int
    lost: int
    audit: AuditReport
    idle_s: float
    total_s: float
    versions_published: int
    whole_steps: int


class TrainerProgress(msgspec.Struct):
    """Progress file, written after each step."""

    steps_done: int
    versions_published: int


class Trainer:
    """Runs all steps of one round."""

    def __init__(
        self, emulator: EmulatorSettings, settings: TrainerSettings, staleness_bound: int
    ) -> None:
        self._settings = settings
        self._emulator = emulator
        self._client = TrainerClient(
            list(settings.gateways), settings.round_name, settings.give_up_s
        )
        self._audit = SampleAudit(staleness_bound)
        self._rng = random.Random(f"{emulator.seed}/trainer")
        self._submitted_steps = 0
        self._idle_s = 0.0
        self._version = INITIAL_VERSION

    async def run(self) -> TrainerReport:
        """Runs all steps. Raises `StileloomError` if the service does not answer in time."""
        settings = self._settings
        started_at = steady_time()
        for step in range(settings.steps):
            await self._submit_up_to(min(settings.steps, step + settings.prompts_ahead))
            await self._train_step(step)
            self._write_progress(step + 1)
        return TrainerReport(
            expected=settings.steps * settings.samples_per_step,
            lost=self._audit.lost,
            audit=self._audit.report,
            idle_s=self._idle_s,
            total_s=steady_time() - started_at,
            versions_published=self._version - INITIAL_VERSION,
            whole_steps=settings.steps,
        )

    async def _submit_up_to(self, steps: int) -> None:
        settings = self._settings
        lengths = LengthDistribution(
            settings.length_median_tokens,
            settings.length_sigma,
            settings.long_fraction,
            settings.long_factor,
            settings.max_tokens,
            settings.groups,
        )
        while self._submitted_steps < steps:
            step = self._submitted_steps
            first = step * settings.samples_per_step
            prompts = [
                generate_prompt(self._rng, settings.round_name, first + number, lengths)
                for number in range(settings.samples_per_step)
            ]
            for prompt in prompts:
                self._audit.expect(prompt.prompt_id, prompt.text, prompt.length)
            bodies = [PromptBody(p.prompt_id, p.text, p.max_tokens, p.group) for p in prompts]
            await self._client.submit_prompts(f"step-{step}", bodies)
            self._submitted_steps += 1

    async def _train_step(self, step: int) -> None:
        settings = self._settings
        offset = step * settings.samples_per_step
        wait_started_at = steady_time()
        result = await self._client.read(offset, settings.samples_per_step)
        self._idle_s += steady_time() - wait_started_at
        for delivery in result.deliveries:
            self._audit.check(delivery, self._version)
        await asyncio.sleep(settings.train_s)
        await self._client.acknowledge(offset + len(result.deliveries))
        await self._store_weights(self._version + 1)
        await self._client.publish_version(self._version + 1)
        self._version += 1

    async def _store_weights(self, version: int) -> None:
        size = self._emulator.samplers[0].engine.weight_bytes
        model = self._settings.round_name
        port = self._emulator.weight_store.port
        url = f"http://{self._emulator.host}:{port}/weights/{model}/{version}"
        body = msgspec.json.encode({"size_bytes": size})
        await AsyncHTTPClient().fetch(HTTPRequest(url, method="PUT", body=body))

    def _write_progress(self, steps_done: int) -> None:
        progress = TrainerProgress(steps_done, self._version - INITIAL_VERSION)
        temporary = Path(f"{self._settings.report}.progress.new")
        temporary.write_bytes(msgspec.json.encode(progress))
        temporary.rename(f"{self._settings.report}.progress")


async def run_trainer(emulator: EmulatorSettings, staleness_bound: int) -> TrainerReport:
    """Runs the configured trainer and writes its report."""
    assert emulator.trainer is not None
    report = await Trainer(emulator, emulator.trainer, staleness_bound).run()
    temporary = Path(f"{emulator.trainer.report}.new")
    temporary.write_bytes(msgspec.json.encode(report))
    temporary.rename(emulator.trainer.report)
    return report
