//! What is wrong with a configuration file: all of it at once, with its place and a remedy.

use super::document::Document;
use super::source_spans::{dotted, under, Places};
use jsonschema::error::ValidationErrorKind as Kind;
use jsonschema::{ValidationError, Validator};
use miette::{GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, Severity, SourceCode};
use schemars::generate::SchemaSettings;
use schemars::transform::RecursiveTransform;
use schemars::Schema;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;

/// A thing that is wrong, or that has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Which value, as a JSON pointer.
    pub pointer: String,
    /// What is wrong with it.
    pub problem: String,
    /// What to do.
    pub remedy: Option<String>,
    /// Byte range in the text, where the pointer does not tell it.
    pub range: Option<Range<usize>>,
    /// The file is taken all the same.
    pub harmless: bool,
}

impl Fault {
    pub fn new(pointer: impl Into<String>, problem: impl Into<String>) -> Self {
        let (pointer, problem) = (pointer.into(), problem.into());
        Fault { pointer, problem, remedy: None, range: None, harmless: false }
    }

    /// A fault of the text itself, which is no JSON or no TOML.
    pub fn of_text(problem: impl Into<String>, range: Range<usize>) -> Self {
        let remedy = Some("mend this first: the rest can be read only then".to_owned());
        Fault { range: Some(range), remedy, ..Fault::new("", problem) }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = dotted(&self.pointer);
        let colon = if key.is_empty() { "" } else { ": " };
        write!(f, "{key}{colon}{}", self.problem)
    }
}

/// All that is wrong with one file.
#[derive(Clone, Debug, Default)]
pub struct Diagnostics {
    /// The file's name.
    pub file: String,
    text: String,
    found: Vec<(Fault, Range<usize>)>,
}

impl Diagnostics {
    /// The faults of a text, in the order of their places. Those that stand at one place for one reason are one.
    pub fn new(file: &str, text: &str, faults: Vec<Fault>, places: &Places) -> Self {
        let place = |fault: Fault| {
            let range = fault.range.clone().unwrap_or_else(|| places.find(&fault.pointer));
            (fault, range)
        };
        let mut found: Vec<_> = faults.into_iter().map(place).collect();
        found.sort_by_key(|(fault, range)| (range.start, fault.pointer.clone()));
        found.dedup_by(|a, b| a.0 == b.0);
        Diagnostics { file: file.to_owned(), text: text.to_owned(), found }
    }

    /// A fault that has no place in the text, such as a file that cannot be read.
    pub fn whole(file: &str, problem: impl Into<String>) -> Self {
        let fault = Fault { range: Some(0..0), ..Fault::new("", problem) };
        Diagnostics { file: file.to_owned(), text: String::new(), found: vec![(fault, 0..0)] }
    }

    /// Is there nothing for which the file is turned down?
    pub fn harmless(&self) -> bool {
        self.found.iter().all(|(fault, _)| fault.harmless)
    }

    /// How many there are for which the file is turned down, and how many that have no effect.
    pub fn count(&self) -> (usize, usize) {
        let harmless = self.found.iter().filter(|(fault, _)| fault.harmless).count();
        (self.found.len() - harmless, harmless)
    }

    /// The keys that have no effect.
    pub fn without_effect(&self) -> impl Iterator<Item = String> + '_ {
        self.found.iter().filter(|(fault, _)| fault.harmless).map(|(fault, _)| dotted(&fault.pointer))
    }

    /// Line and column of a byte, both from 1.
    fn place(&self, at: usize) -> (usize, usize) {
        let before = &self.text.as_bytes()[..at.min(self.text.len())];
        let line_start = before.iter().rposition(|&b| b == b'\n').map_or(0, |end| end + 1);
        let column = String::from_utf8_lossy(&before[line_start..]).chars().count() + 1;
        (before.iter().filter(|&&b| b == b'\n').count() + 1, column)
    }

    /// One line a fault: `FILE:LINE:COLUMN: KEY: PROBLEM; REMEDY`.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.found.iter().map(|(fault, range)| {
            let (line, column) = self.place(range.start);
            let at = if self.text.is_empty() { String::new() } else { format!(":{line}:{column}") };
            let remedy = fault.remedy.as_deref().map(|r| format!("; {r}")).unwrap_or_default();
            format!("{}{at}: {fault}{remedy}", self.file)
        })
    }

    /// For a terminal: each fault with the lines of the file at which it stands.
    pub fn picture(&self, colours: bool) -> String {
        let theme = if colours { GraphicalTheme::unicode() } else { GraphicalTheme::unicode_nocolor() };
        let handler = GraphicalReportHandler::new_themed(theme).with_width(100).with_links(false);
        let mut text = String::new();
        for (fault, range) in &self.found {
            let shown = Shown {
                fault,
                source: (!self.text.is_empty()).then(|| NamedSource::new(&self.file, self.text.clone())),
                range: range.clone(),
                file: &self.file,
            };
            // Writing to a string does not fail.
            let _ = handler.render_report(&mut text, &shown);
        }
        text
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let turned_down = || self.found.iter().zip(self.lines()).filter(|((fault, _), _)| !fault.harmless);
        for (number, (_, line)) in turned_down().enumerate() {
            write!(f, "{}{line}", if number > 0 { " | " } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// A fault as the library that draws it wants it.
#[derive(Debug)]
struct Shown<'a> {
    fault: &'a Fault,
    source: Option<NamedSource<String>>,
    range: Range<usize>,
    file: &'a str,
}

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.source {
            Some(_) => self.fault.fmt(f),
            None => write!(f, "{}: {}", self.file, self.fault),
        }
    }
}

impl std::error::Error for Shown<'_> {}

impl miette::Diagnostic for Shown<'_> {
    fn severity(&self) -> Option<Severity> {
        self.fault.harmless.then_some(Severity::Warning)
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.fault.remedy.as_ref().map(|r| Box::new(r) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source.as_ref().map(|s| s as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        // A table is too long to be underlined: its beginning tells.
        let text = self.source.as_ref()?.inner();
        let end = text[self.range.start..self.range.end].find('\n').map(|end| self.range.start + end);
        let length = end.unwrap_or(self.range.end) - self.range.start;
        Some(Box::new(std::iter::once(LabeledSpan::new(None, self.range.start, length))))
    }
}

/// The JSON schema of the configuration. `strict`: a key that is not known is a fault.
pub fn schema(strict: bool) -> Schema {
    let mut settings = SchemaSettings::draft2020_12();
    settings.inline_subschemas = true;
    if strict {
        settings.transforms.push(Box::new(RecursiveTransform(|schema: &mut Schema| {
            if schema.get("properties").is_some() {
                schema.insert("additionalProperties".to_owned(), false.into());
            }
        })));
    }
    settings.into_generator().into_root_schema_for::<Document>()
}

/// Holds a file against the schema. What a JSON file says beyond it has no effect; in a file for people that is a
/// fault, as it may be a key that was mistyped.
pub fn against_schema(value: &Value, for_people: bool) -> Vec<Fault> {
    let schema = schema(true).to_value();
    let address = |text: &str| text.parse::<SocketAddr>().is_ok();
    let options = jsonschema::options().should_validate_formats(true);
    let validator: Result<Validator, _> = options.with_format("socket-address", address).build(&schema);
    match validator {
        Ok(validator) => validator.iter_errors(value).flat_map(|e| faults(&e, &schema, for_people)).collect(),
        Err(odd) => vec![Fault::new("", format!("the schema itself is odd: {odd}"))],
    }
}

fn faults(error: &ValidationError<'_>, schema: &Value, for_people: bool) -> Vec<Fault> {
    let pointer = error.instance_path().as_str().to_owned();
    let found = short(error.instance());
    let about = |pointer: &str| describe(schema, pointer).map(str::to_owned);
    let expected = |what: String| format!("expected {what}, found {found}");
    let problem = match error.kind() {
        Kind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let remedy = about(&under(&pointer, key)).map(|is| format!("add {key}: {is}"));
            return vec![Fault { remedy, ..Fault::new(pointer, format!("{key} is missing")) }];
        }
        Kind::AdditionalProperties { unexpected } => {
            let known = || part(schema, &pointer).and_then(|p| p.get("properties")?.as_object());
            let unknown = |key: &String| {
                let near = known().into_iter().flat_map(|k| k.keys());
                let near = near.map(|k| (strsim::osa_distance(k, key), k)).filter(|(far, _)| *far <= 3).min();
                let remedy = near.map(|(_, k)| format!("did you mean {k}?"));
                let remedy = remedy.or_else(|| Some("take it out".to_owned()));
                let (harmless, remedy) = if for_people { (false, remedy) } else { (true, None) };
                Fault { harmless, remedy, ..Fault::new(under(&pointer, key), "no such key is known") }
            };
            return unexpected.iter().map(unknown).collect();
        }
        Kind::Type { kind } => {
            let kinds = format!("{kind:?}").to_lowercase();
            let name = |(json, people): (&str, &'static str)| kinds.contains(json).then_some(people);
            let names = [
                ("integer", "a whole number"),
                ("number", "a number"),
                ("boolean", "true or false"),
                ("object", "a table"),
                ("array", "a list"),
                ("string", "a text in quotes"),
            ];
            expected(names.into_iter().find_map(name).unwrap_or("another kind of value").to_owned())
        }
        Kind::Minimum { limit } => expected(format!("at least {limit}")),
        Kind::Maximum { limit } => expected(format!("at most {limit}")),
        Kind::MinItems { limit } => expected(format!("at least {limit} entry")),
        Kind::MinLength { limit } => expected(format!("at least {limit} character")),
        Kind::MaxLength { limit } => expected(format!("at most {limit} characters")),
        Kind::Enum { options } => {
            let words = options.as_array().into_iter().flatten().filter_map(Value::as_str);
            let words: Vec<String> = words.filter(|w| !w.is_empty()).map(|w| format!("\"{w}\"")).collect();
            let problem = expected(format!("one of {}", words.join(", ")));
            let remedy = about(&pointer);
            // An unknown word has always been taken for the one that allows least.
            return vec![Fault { remedy, harmless: !for_people, ..Fault::new(pointer, problem) }];
        }
        Kind::Format { .. } => expected("an address such as 127.0.0.1:5000".to_owned()),
        Kind::Pattern { .. } => expected("hexadecimal digits".to_owned()),
        _ => error.to_string(),
    };
    vec![Fault { remedy: about(&pointer), ..Fault::new(pointer, problem) }]
}

/// A fault that was not found by the schema, with what that says of the key.
pub fn with_remedy(fault: Fault) -> Fault {
    let remedy = describe(&schema(true).to_value(), &fault.pointer).map(str::to_owned);
    Fault { remedy, ..fault }
}

/// A value as it is told in a message.
fn short(value: &Value) -> String {
    match value {
        Value::Array(all) => format!("a list of {}", all.len()),
        Value::Object(_) => "a table".to_owned(),
        plain => plain.to_string(),
    }
}

/// The schema of the value that a pointer leads to.
fn part<'a>(schema: &'a Value, pointer: &str) -> Option<&'a Value> {
    pointer.split('/').skip(1).try_fold(schema, |schema, key| {
        let branches = schema.get("anyOf").and_then(Value::as_array).into_iter().flatten();
        std::iter::once(schema)
            .chain(branches)
            .find_map(|s| s.get("properties").and_then(|p| p.get(key)).or_else(|| s.get("items")))
    })
}

/// What the schema says of a key.
fn describe<'a>(schema: &'a Value, pointer: &str) -> Option<&'a str> {
    part(schema, pointer)?.get("description")?.as_str()
}
