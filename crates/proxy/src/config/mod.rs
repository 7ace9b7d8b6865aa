//! The configuration file: read and checked as one value, at the start and at each SIGHUP.

mod diagnostics;
mod document;
mod human_readable;
mod source_spans;

use crate::endpoint_list::EndpointList;
pub use diagnostics::Diagnostics;
use diagnostics::Fault;
use document::Document;
pub use document::{Limits, MembershipConfig};
use oakport_core::settings_wire::{self, ParsedSettings};
use serde::Deserialize;
use serde_json::Value;
use source_spans::{dotted, under, Places};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml::de::DeTable;

/// Parts of the file, by their keys, in which a new file may leave out nothing that the one in force has.
const PARTS: [&[&str]; 5] =
    [&[], &["limits"], &["settings"], &["settings", "limits"], &["settings", "invariants"]];
/// ... but for these, which a proxy does well without.
const OPTIONAL: [&str; 3] = ["known", "operator", "peers"];

/// A configuration that holds as a whole.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list of servers is asked for.
    pub discovery: SocketAddr,
    /// Where operators call; without it nothing is opened.
    pub operator: Option<SocketAddr>,
    /// The name of this client proxy, if it has one.
    pub name: Option<String>,
    /// The others; without it nothing is opened.
    pub peers: Option<MembershipConfig>,
    /// For all random numbers of the decisions.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    pub(crate) known: Option<EndpointList>,
    /// The settings, as the module and the sockets are told.
    pub facts: ParsedSettings,
    /// Keys that the file leaves out, with the values that stand for them.
    pub defaulted: Vec<(String, Value)>,
    path: PathBuf,
    /// The file as it was, to compare the next one with.
    whole: Value,
}

/// A file that has been looked at.
#[derive(Debug)]
pub struct Checked {
    /// The configuration, unless there is a fault.
    pub config: Option<Config>,
    /// What is wrong, and what has no effect.
    pub faults: Diagnostics,
}

impl Config {
    /// Reads a file, or the one that `$RELAY_CONFIG` names: TOML if its name ends so, else JSON. `$RELAY_OPERATOR`,
    /// if set, comes before its `operator`.
    ///
    /// # Errors
    /// All that is wrong with the file, each with its place.
    pub fn read(path: Option<&Path>) -> Result<Self, Diagnostics> {
        let path = path.map(Path::to_owned).or_else(|| std::env::var_os("RELAY_CONFIG").map(PathBuf::from));
        let Some(path) = path else {
            let problem = "RELAY_CONFIG is not set; name the file with --config FILE";
            return Err(Diagnostics::whole("configuration", problem));
        };
        let (file, text) = text(&path)?;
        let mut config = parse(&file, &text, is_toml(&path))?;
        config.path = path;
        // A process's own environment comes before a file that another may share.
        if let Ok(address) = std::env::var("RELAY_OPERATOR") {
            let parsed = address.parse();
            let operator =
                parsed.map_err(|e| Diagnostics::whole("RELAY_OPERATOR", format!("{address}: {e}")))?;
            config.operator = Some(operator);
        }
        Ok(config)
    }

    /// Reads a file as `read` does, and looks also for what has no effect.
    pub fn check(path: &Path) -> Checked {
        let (file, text) = match text(path) {
            Ok(read) => read,
            Err(faults) => return Checked { config: None, faults },
        };
        match parse(&file, &text, is_toml(path)) {
            Ok(config) => {
                let beyond = if is_toml(path) {
                    Vec::new()
                } else {
                    diagnostics::against_schema(&config.whole, false)
                };
                let beyond = beyond.into_iter().filter(|fault| fault.harmless).collect();
                let faults = Diagnostics::new(&file, &text, beyond, &Places::json(&text));
                Checked { config: Some(config), faults }
            }
            Err(faults) => Checked { config: None, faults },
        }
    }

    /// The JSON schema of the file.
    pub fn schema() -> Value {
        diagnostics::schema(false).to_value()
    }

    /// Reads the file again. An error leaves all as it was.
    ///
    /// # Errors
    /// All that is wrong with the file, and a key of the one in force that it lacks.
    pub fn again(&self) -> Result<Self, Diagnostics> {
        let next = Config::read(Some(&self.path))?;
        match lacking(&self.whole, &next.whole) {
            Some(key) => {
                let problem = format!("{key} is missing, which the file in force has; put it back");
                Err(Diagnostics::whole(&self.path.display().to_string(), problem))
            }
            None => Ok(next),
        }
    }
}

fn is_toml(path: &Path) -> bool {
    path.extension().is_some_and(|end| end == "toml")
}

fn text(path: &Path) -> Result<(String, String), Diagnostics> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|e| Diagnostics::whole(&file, format!("cannot be read: {e}")))?;
    match String::from_utf8(bytes) {
        Ok(text) => Ok((file, text)),
        Err(odd) => {
            let at = odd.utf8_error().valid_up_to();
            Err(Diagnostics::whole(&file, format!("is no text: byte {at} is not UTF-8")))
        }
    }
}

/// The value that a text holds, and where its parts stand.
fn value(text: &str, for_people: bool) -> Result<(Value, Places), Fault> {
    if for_people {
        let odd = |e: toml::de::Error| Fault::of_text(e.message(), e.span().unwrap_or(0..0));
        let places = Places::toml(&DeTable::parse(text).map_err(odd)?);
        return Ok((toml::from_str(text).map_err(odd)?, places));
    }
    let value = serde_json::from_str(text).map_err(|e| {
        let line = text.split_inclusive('\n').take(e.line().saturating_sub(1)).map(str::len).sum::<usize>();
        let at = (line + e.column().saturating_sub(1)).min(text.len());
        let problem = e.to_string();
        let problem = problem.split(" at line ").next().unwrap_or_default();
        Fault::of_text(format!("no JSON: {problem}"), at..at)
    })?;
    Ok((value, Places::json(text)))
}

fn parse(file: &str, text: &str, for_people: bool) -> Result<Config, Diagnostics> {
    let (given, places) =
        value(text, for_people).map_err(|f| Diagnostics::new(file, text, vec![f], &Places::default()))?;
    let fail = |faults| Err(Diagnostics::new(file, text, faults, &places));
    let mut filled = given.clone();
    if for_people {
        let mut faults = Vec::new();
        human_readable::plain(&mut filled, "", &mut faults);
        human_readable::fill(&mut filled);
        faults.extend(diagnostics::against_schema(&filled, true));
        if !faults.is_empty() {
            return fail(faults);
        }
    }
    match assemble(&filled) {
        Ok(config) => {
            let document = Document::deserialize(&filled).ok().and_then(|d| serde_json::to_value(d).ok());
            let mut defaulted = Vec::new();
            missing("", &given, &document.unwrap_or_default(), &mut defaulted);
            Ok(Config { whole: given, defaulted, ..config })
        }
        Err(first) => {
            // What the reader met first is one fault of the file; the schema finds the others.
            let all = diagnostics::against_schema(&filled, for_people);
            let told = all.iter().any(|fault| !fault.harmless);
            fail(if told { all } else { vec![diagnostics::with_remedy(first)] })
        }
    }
}

fn assemble(value: &Value) -> Result<Config, Fault> {
    let Document { name, listen, discovery, operator, peers, seed, limits, known, settings } =
        Document::deserialize(value).map_err(|e| Fault::new("", e.to_string()))?;
    let seed = u64::from_str_radix(&seed, 16).map_err(|e| Fault::new("/seed", format!("{seed}: {e}")))?;
    let facts = settings_wire::convert(settings)
        .map_err(|odd| Fault::new(format!("{}{}", under("", "settings"), odd.pointer), odd.problem))?;
    let (defaulted, path, whole) = (Vec::new(), PathBuf::new(), Value::Null);
    Ok(Config {
        name,
        listen,
        discovery,
        operator,
        peers,
        seed,
        limits,
        known,
        facts,
        defaulted,
        path,
        whole,
    })
}

/// What stands in `full` and was not given.
fn missing(pointer: &str, given: &Value, full: &Value, found: &mut Vec<(String, Value)>) {
    match (given, full) {
        (Value::Object(given), Value::Object(full)) => {
            for (key, value) in full {
                let pointer = under(pointer, key);
                match given.get(key) {
                    Some(given) => missing(&pointer, given, value, found),
                    None if value.is_object() => {
                        missing(&pointer, &Value::Object(Default::default()), value, found)
                    }
                    None => found.push((dotted(&pointer), value.clone())),
                }
            }
        }
        (Value::Array(given), Value::Array(full)) => {
            for (index, (given, full)) in given.iter().zip(full).enumerate() {
                missing(&under(pointer, &index.to_string()), given, full, found);
            }
        }
        _ => {}
    }
}

/// A key of the file in force that the new one lacks.
fn lacking(old: &Value, new: &Value) -> Option<String> {
    let at = |file: &'_ Value, part: &[&str]| part.iter().try_fold(file.clone(), |v, k| v.get(*k).cloned());
    for part in PARTS {
        let (Some(Value::Object(old)), Some(new)) = (at(old, part), at(new, part)) else { continue };
        let lost = old.keys().find(|k| !OPTIONAL.contains(&k.as_str()) && new.get(k).is_none());
        if let Some(lost) = lost {
            return Some([part, &[lost.as_str()]].concat().join("."));
        }
    }
    // What every class has, each new one must have too.
    let classes = |file| match at(file, &["settings", "classes"]) {
        Some(Value::Array(classes)) => classes,
        _ => Vec::new(),
    };
    let (old, new) = (classes(old), classes(new));
    let keys = old.first().and_then(Value::as_object).into_iter().flat_map(|c| c.keys());
    let usual: Vec<&String> = keys.filter(|k| old.iter().all(|c| c.get(k).is_some())).collect();
    let lost = new.iter().find_map(|class| usual.iter().find(|k| class.get(k).is_none()));
    lost.map(|key| format!("settings.classes[].{key}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",
"limits":{"cores":1.0,"memory_mb":48,"sockets":384},"known":{"index":1,"endpoints":[]},
"settings":{"balancers":2,"classes":[{"name":"a","objective_us":1,"deadline_us":2,"worth":1,
"idempotency":"free"}],"limits":{"max_attempts":3,"cancel":true},
"invariants":{"cold_from":0.1,"cold_us":1,"tip_after_us":1,"drain_grace_us":1}}}"#;

    /// The file with some of its text replaced, after the one in force.
    fn next(from: &str, to: &str) -> Result<Config, String> {
        assert!(FILE.contains(from), "{from}");
        let read = |text: &str| parse("file", text, false).map_err(|faults| faults.to_string());
        let (old, new) = (read(FILE)?, read(&FILE.replace(from, to))?);
        lacking(&old.whole, &new.whole).map_or(Ok(new), Err)
    }

    #[test]
    fn a_good_file_is_taken_with_what_is_new_in_it() {
        let b = r#"{"name":"b","objective_us":5,"deadline_us":6,"worth":2,"idempotency":"single_shot"},{"name":"a""#;
        let config = next(r#"{"name":"a""#, b).expect("a good file");
        assert_eq!(config.facts.class_names, ["b", "a"]);
        assert_eq!(
            next("\"max_attempts\":3", "\"max_attempts\":1")
                .expect("good")
                .facts
                .settings
                .limits
                .max_attempts,
            1
        );
        assert!(next(r#""known":{"index":1,"endpoints":[]},"#, "").is_ok(), "a list is not owed");
        assert!(next("127.0.0.1:2", "127.0.0.1:3").is_ok());
    }

    #[test]
    fn each_bad_kind_is_turned_down() {
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
            assert!(next(from, to).is_err(), "{from} -> {to}");
        }
        assert!(parse("file", "", false).is_err(), "empty");
        for end in [1, FILE.len() / 2, FILE.len() - 1] {
            assert!(parse("file", &FILE[..end], false).is_err(), "cut short at {end}");
        }
    }
}
