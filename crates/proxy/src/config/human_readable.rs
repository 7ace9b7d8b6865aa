//! The human-readable form (TOML): times and sizes may have units, and most keys have defaults.

use super::diagnostics::Diagnostic;
use super::source_spans::child_pointer;
use bytesize::ByteSize;
use rand::rngs::OsRng;
use rand::RngCore;
use serde_json::{Map, Value};
use std::sync::LazyLock;

/// Default values of keys that are left out.
static DEFAULTS: LazyLock<Value> = LazyLock::new(|| {
    // A test checks that the file can be parsed.
    toml::from_str(include_str!("defaults.toml")).unwrap_or_default()
});

const NANOS_PER_MICROSECOND: u128 = 1_000;
const NANOS_PER_MILLISECOND: u128 = 1_000_000;
const BYTES_PER_MIB: u128 = 1 << 20;

/// Unit of a number, given by the suffix of its key.
struct Unit {
    key_suffix: &'static str,
    expected: &'static str,
    parse: fn(&str) -> Option<u64>,
}

const UNITS: [Unit; 3] = [
    Unit {
        key_suffix: "_us",
        expected: "a time such as \"400ms\" or \"1m 30s\", or a whole number of microseconds",
        parse: |text| whole_units(parse_nanos(text)?, NANOS_PER_MICROSECOND),
    },
    Unit {
        key_suffix: "_ms",
        expected: "a time such as \"400ms\", or a whole number of milliseconds",
        parse: |text| whole_units(parse_nanos(text)?, NANOS_PER_MILLISECOND),
    },
    Unit {
        key_suffix: "_mb",
        expected: "a size such as \"48MiB\", or a whole number of MiB",
        parse: |text| whole_units(u128::from(text.parse::<ByteSize>().ok()?.as_u64()), BYTES_PER_MIB),
    },
];

fn parse_nanos(text: &str) -> Option<u128> {
    Some(humantime::parse_duration(text).ok()?.as_nanos())
}

/// The amount in whole units; `None` if it is not a multiple of the unit.
fn whole_units(amount: u128, unit: u128) -> Option<u64> {
    if amount.is_multiple_of(unit) {
        u64::try_from(amount / unit).ok()
    } else {
        None
    }
}

/// Replaces times and sizes with units by plain numbers.
pub fn resolve_units(value: &mut Value, pointer: &str, diagnostics: &mut Vec<Diagnostic>) {
    match value {
        Value::Array(items) => {
            for (index, value) in items.iter_mut().enumerate() {
                resolve_units(value, &child_pointer(pointer, &index.to_string()), diagnostics);
            }
        }
        Value::Object(table) => {
            for (key, value) in table {
                let pointer = child_pointer(pointer, key);
                let unit = UNITS.iter().find(|unit| key.ends_with(unit.key_suffix));
                match (unit, value.as_str()) {
                    (Some(unit), Some(text)) => match (unit.parse)(text) {
                        Some(number) => *value = number.into(),
                        None => {
                            let problem = format!("expected {}, found \"{text}\"", unit.expected);
                            diagnostics.push(Diagnostic::error(pointer, problem));
                            // Replaced by a valid number, so that later checks do not report this value again.
                            *value = 1.into();
                        }
                    },
                    _ => resolve_units(value, &pointer, diagnostics),
                }
            }
        }
        _ => {}
    }
}

/// Adds the default values of keys that are left out, and a random seed if there is none.
pub fn apply_defaults(value: &mut Value) {
    let Value::Object(file) = value else { return };
    let mut defaults = DEFAULTS.clone();
    let class = defaults.as_object_mut().and_then(|d| d.remove("class")).unwrap_or_default();
    if let Some(Value::Array(classes)) = file.get_mut("settings").and_then(|s| s.get_mut("classes")) {
        classes.iter_mut().for_each(|given| merge(given, &class));
    }
    merge(value, &defaults);
    if let Value::Object(file) = value {
        file.entry("seed").or_insert_with(|| format!("{:016x}", OsRng.next_u64()).into());
    }
}

/// Adds missing keys, recursing into tables. A given value stays as it is, whatever its type.
fn merge(given: &mut Value, defaults: &Value) {
    let (Value::Object(given), Value::Object(defaults)) = (given, defaults) else { return };
    for (key, default) in defaults {
        let empty = || if default.is_object() { Value::Object(Map::new()) } else { default.clone() };
        merge(given.entry(key.clone()).or_insert_with(empty), default);
    }
}

#[cfg(test)]
mod tests;
