"""The platform's formats, as the command-line tools display them."""

import os

import attrs
from result import Err, Ok, Result

from pollenmast import entry
from pollenmast.adapters import Adapter, Rows
from pollenmast.admission import AdmissionSettings
from pollenmast.platform._configuration import parse_configuration
from pollenmast.platform._packet import PlatformPackets
from pollenmast.platform._settings import parse_settings


class PlatformAdapter(Adapter):
    """Parses settings, configurations and packets of the platform."""

    def settings(self, text: str) -> Result[Rows, str]:
        """Returns the effective values of a settings file, or its error."""
        admission = os.environ.get(entry.ADMISSION_VARIABLE, "")
        parsed = parse_settings(text, admission)
        if isinstance(parsed, Err):
            return parsed
        values = attrs.asdict(parsed.ok_value, recurse=False)
        return Ok(
            [(name, _format_value(value)) for name, value in values.items()]
        )

    def configuration(self, data: bytes) -> Result[Rows, str]:
        """Returns the content of an operator's configuration, or its error."""
        parsed = parse_configuration(data)
        if isinstance(parsed, Err):
            return Err(parsed.err_value.description)
        table = parsed.ok_value
        rows = [
            ("version", str(table.version)),
            ("idle timeout", f"{table.idle_timeout_s:g} s"),
        ]
        for route in table.routes.values():
            shares = [f"{s.service} {s.weight}" for s in route.splits]
            kind = "idempotent" if route.idempotent else "not idempotent"
            description = (
                f"{route.host}:{route.port} to {', '.join(shares)}; {kind}"
            )
            rows.append((f"route {route.name}", description))
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
        """Returns the fields of a client's packet, or why it is invalid."""
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


def _format_value(value: object) -> str:
    if value is None:
        return "none"
    if isinstance(value, AdmissionSettings):
        disabled = entry.disabled_components(value)
        return f"without {disabled}" if disabled else "complete"
    if not isinstance(value, tuple):
        return str(value)
    if value and isinstance(value[0], tuple):
        return ", ".join(_format_value(each) for each in value)
    return ":".join(str(part) for part in value) or "none"


ADAPTER = PlatformAdapter()
