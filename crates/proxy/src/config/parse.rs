//! Parses the text of a configuration file, JSON or human-readable (TOML).

use super::diagnostics::{Diagnostic, Diagnostics};
use super::document::{Document, Limits, MembershipConfig};
use super::source_spans::{child_pointer, dotted_path, SourceSpans};
use super::{human_readable, schema};
use crate::endpoint_list::EndpointList;
use oakport_core::settings_wire::{self, ParsedSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use toml::de::DeTable;

/// A valid file, with defaults for missing keys.
#[derive(Debug)]
pub struct ParsedFile {
    /// The name of this client proxy.
    pub name: Option<String>,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address that the endpoint list is polled from.
    pub discovery: SocketAddr,
    /// `operator`: address of the admin endpoint.
    pub admin_address: Option<SocketAddr>,
    /// `peers`: membership in a fleet of client proxies.
    pub membership: Option<MembershipConfig>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The last endpoint list that this client proxy received.
    pub known: Option<EndpointList>,
    /// The settings, for the balancer and for the sockets.
    pub settings: ParsedSettings,
    /// Keys that are missing in the file, in dotted notation, with their default values.
    pub defaulted: Vec<(String, Value)>,
    /// The content of the file without defaults.
    pub given: Value,
}

/// The value of a text, with the byte range of each part.
struct LocatedValue {
    value: Value,
    spans: SourceSpans,
}

/// Parses a text; `file` is its name in diagnostics.
///
/// # Errors
/// All errors of the file; a syntax error prevents all further checks.
pub fn parse(file: &str, text: &str, human_readable: bool) -> Result<ParsedFile, Diagnostics> {
    let parsed = if human_readable { parse_toml(text) } else { parse_json(text) };
    let LocatedValue { value: given, spans } =
        parsed.map_err(|error| Diagnostics::new(file, text, vec![error], &SourceSpans::default()))?;
    let fail = |diagnostics| Diagnostics::new(file, text, diagnostics, &spans);
    let complete = if human_readable { complete(&given).map_err(fail)? } else { given.clone() };
    let parsed = deserialize(&complete).map_err(|first| {
        // The deserializer stops at its first error; the schema finds all of them.
        let all = schema::validate(&complete, human_readable);
        let found_by_schema = all.iter().any(|diagnostic| !diagnostic.is_warning);
        fail(if found_by_schema { all } else { vec![schema::with_remedy(first)] })
    })?;
    Ok(ParsedFile { defaulted: defaulted_keys(&given, &complete), given, ..parsed })
}

fn parse_toml(text: &str) -> Result<LocatedValue, Diagnostic> {
    let syntax_error =
        |error: toml::de::Error| Diagnostic::syntax_error(error.message(), error.span().unwrap_or(0..0));
    let spans = SourceSpans::toml(&DeTable::parse(text).map_err(syntax_error)?);
    let value = toml::from_str(text).map_err(syntax_error)?;
    Ok(LocatedValue { value, spans })
}

fn parse_json(text: &str) -> Result<LocatedValue, Diagnostic> {
    let value = serde_json::from_str(text).map_err(|error| {
        let lines_before = text.split_inclusive('\n').take(error.line().saturating_sub(1));
        let line_start: usize = lines_before.map(str::len).sum();
        let byte = (line_start + error.column().saturating_sub(1)).min(text.len());
        let message = error.to_string();
        let problem = message.split(" at line ").next().unwrap_or_default();
        Diagnostic::syntax_error(format!("invalid JSON: {problem}"), byte..byte)
    })?;
    Ok(LocatedValue { value, spans: SourceSpans::json(text) })
}

/// Converts the human-readable form to plain numbers, adds all defaults and validates the result.
fn complete(given: &Value) -> Result<Value, Vec<Diagnostic>> {
    let mut value = given.clone();
    let mut diagnostics = Vec::new();
    human_readable::resolve_units(&mut value, "", &mut diagnostics);
    human_readable::apply_defaults(&mut value);
    diagnostics.extend(schema::validate(&value, true));
    if diagnostics.is_empty() {
        Ok(value)
    } else {
        Err(diagnostics)
    }
}

fn deserialize(value: &Value) -> Result<ParsedFile, Diagnostic> {
    let document = Document::deserialize(value).map_err(|error| Diagnostic::error("", error.to_string()))?;
    let seed = u64::from_str_radix(&document.seed, 16)
        .map_err(|error| Diagnostic::error("/seed", format!("{}: {error}", document.seed)))?;
    let settings = settings_wire::convert(document.settings).map_err(|invalid| {
        let pointer = format!("{}{}", child_pointer("", "settings"), invalid.pointer);
        Diagnostic::error(pointer, invalid.problem)
    })?;
    Ok(ParsedFile {
        name: document.name,
        listen: document.listen,
        discovery: document.discovery,
        admin_address: document.operator,
        membership: document.peers,
        seed,
        limits: document.limits,
        known: document.known,
        settings,
        defaulted: Vec::new(),
        given: Value::Null,
    })
}

/// The keys that are missing in a valid file, with their default values.
fn defaulted_keys(given: &Value, complete: &Value) -> Vec<(String, Value)> {
    let document = Document::deserialize(complete).ok();
    let document = document.and_then(|document| serde_json::to_value(document).ok()).unwrap_or_default();
    let mut found = Vec::new();
    collect_missing("", given, &document, &mut found);
    found
}

/// Collects the keys of `full` that are missing in `given`, with their values.
fn collect_missing(pointer: &str, given: &Value, full: &Value, found: &mut Vec<(String, Value)>) {
    match (given, full) {
        (Value::Object(given), Value::Object(full)) => {
            for (key, value) in full {
                let pointer = child_pointer(pointer, key);
                match given.get(key) {
                    Some(given) => collect_missing(&pointer, given, value, found),
                    None if value.is_object() => {
                        collect_missing(&pointer, &Value::Object(Default::default()), value, found)
                    }
                    None => found.push((dotted_path(&pointer), value.clone())),
                }
            }
        }
        (Value::Array(given), Value::Array(full)) => {
            for (index, (given, full)) in given.iter().zip(full).enumerate() {
                collect_missing(&child_pointer(pointer, &index.to_string()), given, full, found);
            }
        }
        _ => {}
    }
}
