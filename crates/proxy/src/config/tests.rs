//! Tests of parsing and reloading a configuration file.

use super::parse::{parse, ParsedFile};
use super::reload_check;

const FILE: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
"limits":{"cores":1.0,"memory_mb":48,"sockets":384},"known":{"index":1,"endpoints":[]},
"settings":{"balancers":2,"classes":[{"name":"a","objective_us":1,"deadline_us":2,"worth":1,
"idempotency":"free"}],"limits":{"max_attempts":3,"cancel":true},
"invariants":{"cold_from":0.1,"cold_us":1,"tip_after_us":1,"drain_grace_us":1}}}"#;

/// Reloads `FILE` with one part of its text replaced.
fn reload(from: &str, to: &str) -> Result<ParsedFile, String> {
    assert!(FILE.contains(from), "{from}");
    let read = |text: &str| parse("file", text, false).map_err(|diagnostics| diagnostics.to_string());
    let in_force = read(FILE)?;
    let new = read(&FILE.replace(from, to))?;
    reload_check::missing_key(&in_force.given, &new.given).map_or(Ok(new), Err)
}

#[test]
fn a_valid_file_is_reloaded_with_its_changes() {
    let b =
        r#"{"name":"b","objective_us":5,"deadline_us":6,"worth":2,"idempotency":"single_shot"},{"name":"a""#;
    let config = reload(r#"{"name":"a""#, b).expect("a valid file");
    assert_eq!(config.settings.class_names, ["b", "a"]);
    assert_eq!(
        reload("\"max_attempts\":3", "\"max_attempts\":1")
            .expect("a valid file")
            .settings
            .settings
            .limits
            .max_attempts,
        1
    );
    assert!(
        reload(r#""known":{"index":1,"endpoints":[]},"#, "").is_ok(),
        "`known` may be missing in a reloaded file"
    );
    assert!(reload("127.0.0.1:2", "127.0.0.1:3").is_ok());
}

#[test]
fn invalid_files_and_files_that_lack_a_key_are_rejected() {
    for (from, to) in [
        ("\"deadline_us\":2", "\"deadline_us\":0"),
        ("\"deadline_us\":2", "\"deadline_us\":-2"),
        ("\"deadline_us\":2", "\"deadline_us\":\"2\""),
        ("\"deadline_us\":2", "\"deadline_us\":null"),
        ("\"deadline_us\":2", "\"deadline_us\":1e999"),
        ("\"deadline_us\":2,", ""),
        ("\"worth\":1,", ""),
        ("\"max_attempts\":3", "\"max_attempts\":0"),
        ("\"max_attempts\":3", "\"max_attempts\":-1"),
        ("\"max_attempts\":3", "\"max_attempts\":\"three\""),
        ("\"max_attempts\":3", "\"max_attempts\":null"),
        ("\"max_attempts\":3,", ""),
        ("\"name\":\"n0\",", ""),
        ("\"cores\":1.0,", ""),
        ("\"drain_grace_us\":1", "\"other\":1"),
        ("\"discovery\":\"127.0.0.1:2\",", ""),
        ("127.0.0.1:2", "nowhere"),
        ("\"settings\"", "\"other\""),
    ] {
        assert!(reload(from, to).is_err(), "{from} -> {to}");
    }
    assert!(parse("file", "", false).is_err(), "empty");
    for end in [1, FILE.len() / 2, FILE.len() - 1] {
        assert!(parse("file", &FILE[..end], false).is_err(), "cut short at {end}");
    }
}
