"""HTTP routes of every daemon for the platform it runs on: health, readiness and metrics."""

from __future__ import annotations

from flamingotiller import daemon, kernel, server


@kernel.entry_routes.register("GET /health")
@kernel.control_routes.register("GET /health")
async def health(process: daemon.Daemon, request: server.Request, reply: server.Reply) -> None:
    """Answers 200 while the process runs."""
    await reply.json(200, {"role": process.role, "instance": process.common_settings.instance})


@kernel.entry_routes.register("GET /ready")
@kernel.control_routes.register("GET /ready")
async def ready(process: daemon.Daemon, request: server.Request, reply: server.Reply) -> None:
    """Answers 200 if the process can serve requests, else 503 with the reason."""
    reason = "stopping" if process.stopping else process.unready_reason()
    await reply.json(503 if reason else 200, {"ready": not reason, "reason": reason})


@kernel.entry_routes.register("GET /metrics")
@kernel.control_routes.register("GET /metrics")
async def metrics(process: daemon.Daemon, request: server.Request, reply: server.Reply) -> None:
    """Answers with the metrics in the Prometheus text format."""
    process.update_metrics()
    body = process.metrics.render()
    await reply.send(200, body, [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")])
