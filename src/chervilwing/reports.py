"""Stats as Prometheus text exposition and as JSON reports that can be merged."""

from hdrh.histogram import HdrHistogram
from returns.result import Result, safe

from .exceptions import BadRequest
from .stats import LATENCIES, UNITS_PER_SECOND, Stats, make_histogram

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
QUANTILES = (0.5, 0.95, 0.99)
REPORT_VERSION = 1

# Each row: the metric's name, a function that reads it from a Series, its help text.
COUNTERS = (
    ("tokens_total", lambda series: series.tokens, "Tokens passed to callers."),
    (
        "recomputed_tokens_total",
        lambda series: series.recomputed,
        "Tokens that engines computed again because progress was lost.",
    ),
)


def escape_label_value(text):
    """Return a label value escaped for the text exposition format."""
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _make_labels(series, **extra):
    labels = {"customer": series.customer, "class": series.work_class, **extra}
    return ",".join(
        f'{name}="{escape_label_value(value)}"' for name, value in labels.items()
    )


def render_metrics(stats):
    """Yield the text exposition in blocks, so that a writer can pause between them.

    Quantiles cover this instance only and can't be averaged over several instances; the
    histograms of /-/histograms can be merged.
    """
    rows = stats.list_series()
    for name, read_total, text in COUNTERS:
        yield _render_head(name, "counter", text)
        for series in rows:
            yield f"chervilwing_{name}{{{_make_labels(series)}}} {read_total(series)}\n"
    yield _render_head("requests_total", "counter", "Finished requests.")
    for series in rows:
        yield _render_outcomes(series)
    for kind in LATENCIES:
        yield _render_head(f"{kind}_seconds", "summary", f"Latency: {kind}.")
        for series in rows:
            yield _render_summary(series, kind)


def _render_head(name, type_, text):
    return f"# HELP chervilwing_{name} {text}\n# TYPE chervilwing_{name} {type_}\n"


def _render_outcomes(series):
    lines = []
    for (outcome, cause), count in sorted(series.outcomes.items()):
        labels = _make_labels(series, outcome=outcome, cause=cause)
        lines.append(f"chervilwing_requests_total{{{labels}}} {count}\n")
    return "".join(lines)


def _render_summary(series, kind):
    histogram = series.latencies.get(kind)
    if histogram is None:
        return ""
    name = f"chervilwing_{kind}_seconds"
    lines = [
        f"{name}{{{_make_labels(series, quantile=str(quantile))}}} {seconds:g}\n"
        for quantile, seconds in read_quantiles(histogram).items()
    ]
    lines.append(f"{name}_sum{{{_make_labels(series)}}} {series.seconds[kind]:g}\n")
    lines.append(
        f"{name}_count{{{_make_labels(series)}}} {histogram.get_total_count()}\n"
    )
    return "".join(lines)


def read_quantiles(histogram):
    """Return a dict from each of QUANTILES to its value in seconds."""
    by_percentile = histogram.get_percentile_to_value_dict(
        [quantile * 100 for quantile in QUANTILES]
    )
    return {
        quantile: by_percentile[quantile * 100] / UNITS_PER_SECOND
        for quantile in QUANTILES
    }


def make_report(stats):
    """Return the JSON body of ``GET /-/histograms``, with histograms HDR encoded."""
    return {
        "version": REPORT_VERSION,
        "units_per_second": UNITS_PER_SECOND,
        "series": [_make_entry(series) for series in stats.list_series()],
    }


def _make_entry(series):
    return {
        "customer": series.customer,
        "class": series.work_class,
        "tokens": series.tokens,
        "recomputed_tokens": series.recomputed,
        "outcomes": [[*key, count] for key, count in sorted(series.outcomes.items())],
        "latencies": {
            kind: {
                "histogram": histogram.encode().decode("ascii"),
                "seconds": series.seconds[kind],
            }
            for kind, histogram in series.latencies.items()
        },
    }


@safe(exceptions=(BadRequest,))
def merge_reports(reports) -> Result[Stats, BadRequest]:
    """Return the merged Stats of several instances' reports, or BadRequest."""
    total = Stats(pairs=1_000_000)
    for report in reports:
        try:
            if report["version"] != REPORT_VERSION:
                raise ValueError(f"version {report['version']!r}")
            for entry in report["series"]:
                _add_entry(total, entry)
        # Invalid bytes make hdrh raise its own exceptions or zlib's.
        except Exception as exc:
            raise BadRequest(f"not a report of histograms: {exc!r:.200}") from exc
    return total


def _add_entry(total, entry):
    series = total.select(str(entry["customer"]), str(entry["class"]))
    series.record_tokens(int(entry["tokens"]), int(entry["recomputed_tokens"]))
    for outcome, cause, count in entry["outcomes"]:
        series.outcomes[str(outcome), str(cause)] += int(count)
    for kind in LATENCIES:
        if kind in entry["latencies"]:
            _add_latency(series, kind, entry["latencies"][kind])


def _add_latency(series, kind, row):
    decoded = HdrHistogram.decode(row["histogram"].encode("ascii"))
    series.latencies.setdefault(kind, make_histogram()).add(decoded)
    series.seconds[kind] += float(row["seconds"])


def summarise(stats):
    """Return rows for display: counts, tokens and quantiles in seconds."""
    rows = []
    for series in stats.list_series():
        row = {
            "customer": series.customer,
            "class": series.work_class,
            "requests": series.outcomes.total(),
            "outcomes": _sum_outcomes(series),
            "tokens": series.tokens,
            "recomputed_tokens": series.recomputed,
        }
        for kind, histogram in series.latencies.items():
            quantiles = read_quantiles(histogram)
            row[kind] = {f"p{q * 100:g}": value for q, value in quantiles.items()}
        rows.append(row)
    return rows


def _sum_outcomes(series):
    totals = {}
    for (outcome, _), count in sorted(series.outcomes.items()):
        totals[outcome] = totals.get(outcome, 0) + count
    return totals
