"""The platform's formats, for the tools of the command line."""

import attrs
from result import Err, Ok, Result

from pollenmast.adapters import Adapter, Rows
from pollenmast.platform._entries import parse_configuration
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._settings import read_settings


class PlatformAdapter(Adapter):
    """Reads what the platform's operators and clients write."""

    def settings(self, text: str) -> Result[Rows, str]:
        """Returns a settings file's values in force, or its fault."""
        checked = read_settings(text)
        if isinstance(checked, Err):
            return checked
        values = attrs.asdict(checked.ok_value, recurse=False)
        return Ok([(name, _words(value)) for name, value in values.items()])

    def configuration(self, data: bytes) -> Result[Rows, str]:
        """Returns what an operator's configuration says, or its fault."""
        checked = parse_configuration(data)
        if isinstance(checked, Err):
            return checked
        table = checked.ok_value
        rows = [
            ("version", str(table.version)),
            ("idle timeout", f"{table.idle_timeout_s:g} s"),
        ]
        for route in table.routes.values():
            shares = [f"{s.service} {s.weight}" for s in route.splits]
            kind = "idempotent" if route.idempotent else "not idempotent"
            told = f"{route.host}:{route.port} to {', '.join(shares)}; {kind}"
            rows.append((f"route {route.name}", told))
        rows += [
            (f"health check of {service}", path)
            for service, path in table.health_paths.items()
        ]
        rows += [
            (
                f"warm-up of {service}",
                f"{warmup.duration_s:g} s, {warmup.flows_per_s:g} flows/s",
            )
            for service, warmup in table.warmups.items()
        ]
        return Ok(rows)

    def packet(self, data: bytes) -> Result[Rows, str]:
        """Returns what a client's packet says, or why it says nothing."""
        packets = PlatformPackets(0)
        decoded = packets.decode(data)
        if isinstance(decoded, Err):
            return Err(decoded.err_value.value)
        segment = decoded.ok_value
        flags = [f for f in ("syn", "fin", "rst") if getattr(segment, f)]
        rows = [
            ("flow", str(segment.flow)),
            ("flags", ", ".join(flags) or "none"),
            ("token", f"{segment.token:#010x}"),
            ("sequence", str(segment.sequence)),
            ("acknowledged", str(segment.acknowledged)),
            ("data", f"{segment.length} bytes"),
        ]
        if segment.syn:
            rows.append(("sent before", f"{segment.syn_copies} times"))
        request = packets.request_id(segment)
        if request:
            rows.append(("request", request))
        return Ok(rows)


def _words(value: object) -> str:
    if value is None:
        return "none"
    if not isinstance(value, tuple):
        return str(value)
    if value and isinstance(value[0], tuple):
        return ", ".join(_words(each) for each in value)
    return ":".join(str(part) for part in value) or "none"


ADAPTER = PlatformAdapter()
