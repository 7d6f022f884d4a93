"""A plot of a run over the day: idle time, staleness, demand and roles."""

from __future__ import annotations

from pathlib import Path

import matplotlib

from stileloom.simulator.bench import BenchResult

matplotlib.use("Agg")

import matplotlib.pyplot as plt

SMOOTH_POINTS = 24


def plot_result(result: BenchResult, path: Path) -> None:
    """Writes a PNG."""
    points = result.points
    hours = [24.0 * point.at_s / result.parameters.duration_s for point in points]
    figure, axes = plt.subplots(3, 1, figsize=(9, 8), sharex=True)
    title = f"{result.parameters.deployment}, {result.parameters.scheduler.value}"
    axes[0].set_title(f"{title}, seed {result.seed}")
    axes[0].plot(hours, _smooth([point.idle_fraction for point in points]), color="tab:red")
    axes[0].set_ylabel("trainer idle fraction")
    axes[0].set_ylim(0, 1)
    trained = [(hour, p.staleness_mean) for hour, p in zip(hours, points, strict=True)]
    shown = [pair for pair in trained if pair[1] > 0]
    axes[1].plot([h for h, _ in shown], [age for _, age in shown], ".", color="tab:purple")
    axes[1].axhline(result.staleness.bound, color="black", linewidth=0.8, linestyle="--")
    axes[1].set_ylabel("staleness, versions")
    axes[1].set_ylim(bottom=0)
    lookups = [point.lookup_samplers for point in points]
    rollouts = [point.rollout_samplers for point in points]
    axes[2].stackplot(hours, rollouts, lookups, labels=["rollout", "lookup"], alpha=0.6)
    axes[2].set_ylabel("samplers by role")
    axes[2].set_xlabel("hour of the day")
    demand = axes[2].twinx()
    demand.plot(hours, [point.lookups_per_s for point in points], color="black", linewidth=1)
    demand.set_ylabel("lookups per second")
    axes[2].legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _smooth(values: list[float]) -> list[float]:
    """A moving mean, since a step's wait is far longer than a sample point."""
    smoothed: list[float] = []
    for index in range(len(values)):
        window = values[max(0, index - SMOOTH_POINTS) : index + 1]
        smoothed.append(sum(window) / len(window))
    return smoothed
