//! Tests of the units and defaults of the human-readable form.

use super::*;
use serde_json::json;

#[test]
fn values_with_units_become_numbers_and_fractions_of_a_unit_are_errors() {
    for (key, text, expected) in [
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
        let mut value = json!({"part": [{key: text}]});
        let mut diagnostics = Vec::new();
        resolve_units(&mut value, "", &mut diagnostics);
        match expected {
            Some(number) => assert_eq!(value["part"][0][key], number, "{text}"),
            None => assert_eq!(diagnostics[0].pointer, format!("/part/0/{key}"), "{text}"),
        }
        assert_eq!(diagnostics.is_empty(), expected.is_some(), "{text}");
    }
}

#[test]
fn given_values_are_kept_and_missing_keys_get_defaults() {
    let mut value = json!({"limits": {"sockets": 9}, "settings": {"classes": [{"worth": 5}, {}]}});
    apply_defaults(&mut value);
    assert_eq!((&value["limits"]["sockets"], &value["limits"]["memory_mb"]), (&json!(9), &json!(64)));
    let classes = &value["settings"]["classes"];
    assert_eq!((&classes[0]["worth"], &classes[1]["worth"]), (&json!(5), &json!(1.0)));
    assert_eq!(value["seed"].as_str().map(str::len), Some(16));
    assert!(value.get("class").is_none());
}
