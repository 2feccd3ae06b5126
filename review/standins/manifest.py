"""A manifest like that of the herbarium's small deployment."""

from typing import Any

KEY = "ctnfzs989anu6wsjnban"
MODEL_SERVICE, PLAIN_SERVICE = "lektor", "portal"
MODEL = "daka510000"
HOST = "jepu9.example"

#: Routes by the class of their requests: path prefix and terms, as in the site file.
PATHS = {
    "taxon-code": "/lepu270/",
    "det-note": "/xapu221/",
    "thumb": "/fiti832/",
    "batch-status": "/filo73/",
}


def make_route(
    name: str, path: str, kind: str, timeout_ms: int, **terms: Any
) -> dict[str, Any]:
    """Return a route; ``terms`` replace or add to its usual ones."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "max_attempts": 1,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
        **terms,
    }


def _route(name: str, kind: str, timeout_ms: int, **terms: Any) -> dict[str, Any]:
    return make_route(name, PATHS[name], kind, timeout_ms, **terms)


def make_manifest(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Return a manifest with the routes and services of the deployment."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 99487,
        "kv_token_bytes": 18432,
        "link_mbps": 550000.0,
        "moves": True,
        "backups": True,
        "stride": 6,
        "max_in_flight": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": MODEL}],
    }
    model = {"service": MODEL_SERVICE, "gap_aim_ms": 500}
    plain = {"service": PLAIN_SERVICE, "target_latency_ms": 300, "priority": 2}
    return {
        "version": version,
        "routes": [
            _route(
                "taxon-code",
                "stream",
                4000,
                target_latency_ms=600,
                priority=1,
                **model,
            ),
            _route(
                "det-note",
                "stream",
                12000,
                target_latency_ms=500,
                priority=0,
                **{**model, "max_attempts": 2, "resumable": True},
            ),
            _route("thumb", "non_idempotent", 1500, **plain),
            _route("batch-status", "idempotent", 1500, **{**plain, "max_attempts": 2}),
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "health_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": PLAIN_SERVICE,
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "sese880",
                "api_keys": [KEY],
                "priority": 1,
                "isolated": False,
            }
        ],
        **changes,
    }
