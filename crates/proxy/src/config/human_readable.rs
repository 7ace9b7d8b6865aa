//! The TOML form, for people: times and sizes may be written with their units, and most keys may be left out.

use super::diagnostics::Fault;
use super::source_spans::under;
use bytesize::ByteSize;
use rand::rngs::OsRng;
use rand::RngCore;
use serde_json::{Map, Value};
use std::sync::LazyLock;

/// What need not be said.
static DEFAULTS: LazyLock<Value> = LazyLock::new(|| {
    // A test sees that it can be read.
    toml::from_str(include_str!("defaults.toml")).unwrap_or_default()
});

/// A kind of figure that may bear its unit, known by the end of its key.
struct Unit {
    key_end: &'static str,
    expected: &'static str,
    read: fn(&str) -> Option<u64>,
}

const UNITS: [Unit; 3] = [
    Unit {
        key_end: "_us",
        expected: "a time such as \"400ms\" or \"1m 30s\", or a whole number of microseconds",
        read: |text| whole(humantime::parse_duration(text).ok()?.as_nanos(), 1_000),
    },
    Unit {
        key_end: "_ms",
        expected: "a time such as \"400ms\", or a whole number of milliseconds",
        read: |text| whole(humantime::parse_duration(text).ok()?.as_nanos(), 1_000_000),
    },
    Unit {
        key_end: "_mb",
        expected: "a size such as \"48MiB\", or a whole number of MiB",
        read: |text| whole(u128::from(text.parse::<ByteSize>().ok()?.as_u64()), 1 << 20),
    },
];

/// So many whole units; what is left over could only be lost.
fn whole(amount: u128, unit: u128) -> Option<u64> {
    if amount.is_multiple_of(unit) {
        u64::try_from(amount / unit).ok()
    } else {
        None
    }
}

/// Turns times and sizes that are written with their units into plain numbers.
pub fn plain(value: &mut Value, pointer: &str, faults: &mut Vec<Fault>) {
    match value {
        Value::Array(all) => {
            for (index, value) in all.iter_mut().enumerate() {
                plain(value, &under(pointer, &index.to_string()), faults);
            }
        }
        Value::Object(all) => {
            for (key, value) in all {
                let pointer = under(pointer, key);
                let unit = UNITS.iter().find(|unit| key.ends_with(unit.key_end));
                match (unit, value.as_str()) {
                    (Some(unit), Some(text)) => match (unit.read)(text) {
                        Some(number) => *value = number.into(),
                        None => {
                            let problem = format!("expected {}, found \"{text}\"", unit.expected);
                            faults.push(Fault::new(pointer, problem));
                            // One fault is enough for it: any number passes from here on.
                            *value = 1.into();
                        }
                    },
                    _ => plain(value, &pointer, faults),
                }
            }
        }
        _ => {}
    }
}

/// Fills in what was left out.
pub fn fill(value: &mut Value) {
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

/// Puts in what is missing, table by table; a value that is there stays, whatever its kind.
fn merge(given: &mut Value, defaults: &Value) {
    let (Value::Object(given), Value::Object(defaults)) = (given, defaults) else { return };
    for (key, default) in defaults {
        let empty = || if default.is_object() { Value::Object(Map::new()) } else { default.clone() };
        merge(given.entry(key.clone()).or_insert_with(empty), default);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn figures_may_bear_their_units_and_what_is_no_whole_unit_is_a_fault() {
        for (key, text, wanted) in [
            ("aim_us", "400ms", Some(400_000)),
            ("aim_us", "1m 30s", Some(90_000_000)),
            ("aim_us", "7us", Some(7)),
            ("aim_us", "7ns", None),
            ("aim_us", "7", None),
            ("aim_us", "-1s", None),
            ("aim_us", "soon", None),
            ("since_ms", "2s", Some(2_000)),
            ("since_ms", "1us", None),
            ("memory_mb", "48MiB", Some(48)),
            ("memory_mb", "1GiB", Some(1_024)),
            ("memory_mb", "48MB", None),
            ("memory_mb", "much", None),
        ] {
            let (mut value, mut faults) = (json!({"part": [{key: text}]}), Vec::new());
            plain(&mut value, "", &mut faults);
            match wanted {
                Some(number) => assert_eq!(value["part"][0][key], number, "{text}"),
                None => assert_eq!(faults[0].pointer, format!("/part/0/{key}"), "{text}"),
            }
            assert_eq!(faults.is_empty(), wanted.is_some(), "{text}");
        }
    }

    #[test]
    fn what_is_said_stays_and_what_is_not_is_filled_in() {
        let mut value = json!({"limits": {"sockets": 9}, "settings": {"classes": [{"worth": 5}, {}]}});
        fill(&mut value);
        assert_eq!((&value["limits"]["sockets"], &value["limits"]["memory_mb"]), (&json!(9), &json!(64)));
        let classes = &value["settings"]["classes"];
        assert_eq!((&classes[0]["worth"], &classes[1]["worth"]), (&json!(5), &json!(1.0)));
        assert_eq!(value["seed"].as_str().map(str::len), Some(16));
        assert!(value.get("class").is_none());
    }
}
