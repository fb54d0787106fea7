"""The text in which `damaskridge-ctl explain` prints an explanation."""

from damaskridge.model.explanations import Explanation, ServerRank, StepExplanation

__all__ = ["explanation_lines"]

# Servers that are shown of each step, the best first. `--json` shows all.
MAX_SERVERS = 5


def explanation_lines(explanation: Explanation) -> list[str]:
    """Return the lines of an explanation."""
    lines = [
        f"{explanation.outcome} (host {explanation.host} in {explanation.data_centre}, "
        f"routing version {explanation.routing_version})"
    ]
    if not explanation.route:
        return lines
    lines.append(
        f"route {explanation.route} to {explanation.service}, priority "
        f"{explanation.priority}, {explanation.level} more urgent"
    )
    retry = f"; retry after {explanation.retry_after_s:g} s"
    lines.append(
        f"rate: {explanation.admission}{retry if explanation.retry_after_s else ''}"
    )
    for step in explanation.steps:
        lines += _step_lines(step)
    return lines


def _step_lines(step: StepExplanation) -> list[str]:
    ranked = [server for server in step.servers if server.rank]
    passed_over = [server for server in step.servers if not server.rank]
    lines = [
        f"{step.step}: the {step.decided_by} decides, the best of {step.compared} "
        f"drawn of {len(ranked)}; {len(passed_over)} passed over"
    ]
    for server in [*ranked[:MAX_SERVERS], *passed_over[:MAX_SERVERS]]:
        lines.append(_server_line(server))
    return lines


def _server_line(server: ServerRank) -> str:
    place = f"{server.rank}." if server.rank else "-"
    remark = f": {server.remark}" if server.remark else ""
    return (
        f"  {place} {server.server} in {server.data_centre}, "
        f"{server.requests} requests, {server.prompt_tokens} tokens to prefill, "
        f"{server.memory_tokens} in memory, speed {server.speed:g}{remark}"
    )
