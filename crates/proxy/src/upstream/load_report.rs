//! Parses the load report in a response header.

use hyper::header::HeaderValue;
use hyper::http::HeaderMap;
use oakport_core::LoadReport;

const LOAD_HEADER: &str = "x-server-load";

/// The load report in these headers, empty if there is none.
pub fn from_headers(headers: &HeaderMap) -> LoadReport {
    headers.get(LOAD_HEADER).map(parse).unwrap_or_default()
}

/// Parses `TEXT name=value, name=value, ...`; invalid parts are skipped. Accepts the names of the columns in
/// the settings (`active`) and those of the protocol's example (`inflight`), because endpoints send either.
fn parse(value: &HeaderValue) -> LoadReport {
    let mut load = LoadReport::default();
    let text = value.to_str().unwrap_or_default();
    for part in text.trim_start_matches("TEXT").split(',') {
        let Some((name, value)) = part.split_once('=') else { continue };
        let value = parse_number(value);
        match name.trim() {
            "active" | "inflight" => load.in_flight = value,
            "waiting" | "queue" => load.queued = value,
            "cpu" | "util" => load.utilisation = value,
            "err_rps" | "eps" => load.error_rate = value,
            _ => {}
        }
    }
    load
}

/// Parses a number; `None` unless it is finite and not negative.
fn parse_number(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
